package org.hyssophitch.wire.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.control.ListedHost;
import org.hyssophitch.wire.net.Addresses;
import org.tinylog.Logger;

/** Parses the platform's host list, which is a JSON array. Stateless. */
final class HostListParser {

    private static final JsonFactory JSON = new JsonFactory();
    private static final int DEFAULT_SLOTS = 3;

    /** Values of one entry, with defaults for missing fields. Not thread-safe; used while parsing one entry. */
    private static final class Fields {
        private String name = "";
        private String agent = "";
        private boolean isLeaving;
        private String service = "";
        private String address = "";
        private String zone = "";
        private int slots = DEFAULT_SLOTS;
        private int coldMillis;
    }

    private HostListParser() {}

    /**
     * Parses a host list; unknown fields are ignored.
     *
     * @throws IOException when the list isn't well-formed JSON or a field has the wrong type
     */
    static List<ListedHost> parse(byte[] json) throws IOException {
        List<ListedHost> hosts = new ArrayList<>();
        try (JsonParser parser = JSON.createParser(json)) {
            while (parser.nextToken() != null) {
                if (parser.currentToken() == JsonToken.START_OBJECT) {
                    hosts.add(host(parser));
                }
            }
        }
        return hosts;
    }

    private static ListedHost host(JsonParser parser) throws IOException {
        Fields f = new Fields();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            parser.nextToken();
            switch (field) {
                case "name" -> f.name = parser.getText();
                case "agent" -> f.agent = parser.getText();
                case "leaving" -> f.isLeaving = parser.getBooleanValue();
                case "service" -> f.service = parser.getText();
                case "address" -> f.address = parser.getText();
                case "zone" -> f.zone = parser.getText();
                case "slots" -> f.slots = parser.getIntValue();
                case "cold-ms" -> f.coldMillis = parser.getIntValue();
                default -> parser.skipChildren();
            }
        }
        return new ListedHost(f.name, f.agent, f.isLeaving, registration(f));
    }

    /** Returns the registration in an entry; an invalid one is logged and ignored, and other entries stay valid. */
    private static Optional<RegisteredServer> registration(Fields f) {
        if (f.service.isEmpty()) {
            return Optional.empty();
        }
        if (!Addresses.isAddress(f.address) || f.name.isEmpty() || f.slots < 1) {
            Logger.warn(
                    "ignored the invalid registration of server {} for service {} at address {}",
                    f.name,
                    f.service,
                    f.address);
            return Optional.empty();
        }
        InetSocketAddress address = Addresses.parse(f.address);
        BackendServer server =
                new BackendServer(f.name, address.getHostString(), address.getPort(), f.zone, f.slots, 0, false);
        return Optional.of(new RegisteredServer(f.service, server, Math.max(0, f.coldMillis)));
    }
}
