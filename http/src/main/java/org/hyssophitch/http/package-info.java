/**
 * Data path: HTTP/1.1 connections of callers and to backend servers, and the dispatcher that runs the call engine between
 * them on one event loop.
 */
package org.hyssophitch.http;
