"""Send requests to backend servers that are called without agents.

Public parts: `calls.Call`, `transport.Response`, `dispatcher.Dispatcher`.
"""
