package org.hyssophitch.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;

/** Shows the state of each entry host and the configuration in force there. */
@Command(name = "status", description = "shows each entry host and the configuration in force there")
@Examples(
        examples = "hyssophitch status",
        descriptions = "exits with 5 if a host has an old configuration, has no proxy or does not respond")
public final class StatusCommand implements ClientCommand {

    /** Status of one entry host, one line of the output. */
    record HostStatus(
            String agent,
            String host,
            String zone,
            long version,
            String since,
            boolean proxyConnected,
            boolean watcher,
            boolean platformReachable,
            long liveMembers,
            long registeredServers,
            String state) {

        boolean isGood() {
            return state.equals("ok");
        }
    }

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Override
    public ExitCode execute() {
        List<Optional<JsonNode>> responses = context.settings().agents().parallelStream()
                .map(a -> context.fetchJson("http://" + a + "/status"))
                .toList();
        long newest = responses.stream()
                .flatMap(Optional::stream)
                .mapToLong(s -> s.get("configurationVersion").asLong())
                .max()
                .orElse(0);
        List<HostStatus> hosts = new ArrayList<>();
        for (int i = 0; i < responses.size(); i++) {
            hosts.add(hostStatus(context.settings().agents().get(i), responses.get(i), newest));
        }
        print(hosts);
        if (responses.stream().allMatch(Optional::isEmpty)) {
            return ExitCode.UNREACHABLE;
        }
        return hosts.stream().allMatch(HostStatus::isGood) ? ExitCode.OK : ExitCode.DEGRADED;
    }

    private void print(List<HostStatus> hosts) {
        if (context.isJson()) {
            context.printJson(hosts);
            return;
        }
        System.out.printf(
                "%-10s %-16s %8s  %-24s %-6s %-7s %-9s %-5s %-10s %s%n",
                "HOST",
                "ZONE",
                "VERSION",
                "IN FORCE SINCE",
                "PROXY",
                "WATCHES",
                "PLATFORM",
                "LIVE",
                "REGISTERED",
                "STATE");
        hosts.forEach(h -> System.out.printf(
                "%-10s %-16s %8d  %-24s %-6s %-7s %-9s %-5d %-10d %s%n",
                h.host(),
                h.zone(),
                h.version(),
                h.since(),
                yesOrNo(h.proxyConnected()),
                yesOrNo(h.watcher()),
                yesOrNo(h.platformReachable()),
                h.liveMembers(),
                h.registeredServers(),
                h.state()));
    }

    private static HostStatus hostStatus(String agent, Optional<JsonNode> response, long newest) {
        if (response.isEmpty()) {
            return new HostStatus(agent, agent, "?", 0, "", false, false, false, 0, 0, "no-answer");
        }
        JsonNode s = response.get();
        long version = s.get("configurationVersion").asLong();
        boolean hasProxy = s.get("proxyConnected").asBoolean();
        String state = version < newest ? "lags" : hasProxy ? "ok" : "no-proxy";
        return new HostStatus(
                agent,
                s.get("host").asText(),
                s.get("zone").asText(),
                version,
                formatTime(s.get("inForceSinceMicros").asLong()),
                hasProxy,
                s.get("watcher").asBoolean(),
                s.get("platformReachable").asBoolean(),
                liveMembers(s),
                s.path("registeredServers").size(),
                state);
    }

    private static long liveMembers(JsonNode status) {
        return status.get("members").findValuesAsText("state").stream()
                .filter(m -> m.equals("ALIVE") || m.equals("SUSPECT"))
                .count();
    }

    private static String formatTime(long micros) {
        return micros == 0
                ? ""
                : Instant.EPOCH
                        .plus(Duration.ofMillis(TimeUnit.MICROSECONDS.toMillis(micros)))
                        .toString();
    }

    private static String yesOrNo(boolean value) {
        return value ? "yes" : "no";
    }
}
