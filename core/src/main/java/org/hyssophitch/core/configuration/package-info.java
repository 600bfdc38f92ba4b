/**
 * Immutable model of the operators' configuration document: services, backend servers, rules and budgets.
 */
package org.hyssophitch.core.configuration;
