package org.hyssophitch.core.control;

import java.util.Optional;

import org.hyssophitch.core.configuration.RegisteredServer;

/**
 * Statement on what a backend server registered with the platform. Immutable.
 *
 * @param server name of the server
 * @param registration what it registered; empty when its registration is gone
 * @param statedMicros when its origin stated it, in microseconds since the epoch; the latest statement counts
 */
public record RegistrationNotice(String server, Optional<RegisteredServer> registration, long statedMicros) {}
