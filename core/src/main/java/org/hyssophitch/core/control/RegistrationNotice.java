package org.hyssophitch.core.control;

import java.util.Optional;

import org.hyssophitch.core.configuration.RegisteredServer;

/**
 * Notice about the registration of a backend server with the platform. Immutable.
 *
 * @param server name of the server
 * @param registration registration of the server; empty when it was removed
 * @param statedMicros creation time of the notice in microseconds since the epoch; the latest notice wins
 */
public record RegistrationNotice(String server, Optional<RegisteredServer> registration, long statedMicros) {}
