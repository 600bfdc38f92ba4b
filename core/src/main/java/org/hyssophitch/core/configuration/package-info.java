/**
 * Immutable model of the configuration document: services, backend servers, routes, rules, limits and budgets.
 */
package org.hyssophitch.core.configuration;
