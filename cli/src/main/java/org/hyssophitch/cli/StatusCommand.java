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

/** Shows which configuration is in force on each entry host. */
@Command(name = "status", description = "shows each entry host and the configuration in force there")
@Examples(
        examples = "hyssophitch status",
        descriptions = "exits with 5 when a host lags, has no proxy or gives no answer")
public final class StatusCommand implements ClientCommand {

    /** One line of the output. */
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
        List<Optional<JsonNode>> answers = context.settings().agents().parallelStream()
                .map(a -> context.read("http://" + a + "/status"))
                .toList();
        long newest = answers.stream()
                .flatMap(Optional::stream)
                .mapToLong(s -> s.get("configurationVersion").asLong())
                .max()
                .orElse(0);
        List<HostStatus> lines = new ArrayList<>();
        for (int i = 0; i < answers.size(); i++) {
            lines.add(line(context.settings().agents().get(i), answers.get(i), newest));
        }
        print(lines);
        if (answers.stream().allMatch(Optional::isEmpty)) {
            return ExitCode.UNREACHABLE;
        }
        return lines.stream().allMatch(HostStatus::isGood) ? ExitCode.OK : ExitCode.DEGRADED;
    }

    private void print(List<HostStatus> lines) {
        if (context.isJson()) {
            context.printJson(lines);
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
        lines.forEach(l -> System.out.printf(
                "%-10s %-16s %8d  %-24s %-6s %-7s %-9s %-5d %-10d %s%n",
                l.host(),
                l.zone(),
                l.version(),
                l.since(),
                yes(l.proxyConnected()),
                yes(l.watcher()),
                yes(l.platformReachable()),
                l.liveMembers(),
                l.registeredServers(),
                l.state()));
    }

    private static HostStatus line(String agent, Optional<JsonNode> answer, long newest) {
        if (answer.isEmpty()) {
            return new HostStatus(agent, agent, "?", 0, "", false, false, false, 0, 0, "no-answer");
        }
        JsonNode s = answer.get();
        long version = s.get("configurationVersion").asLong();
        boolean hasProxy = s.get("proxyConnected").asBoolean();
        String state = version < newest ? "lags" : hasProxy ? "ok" : "no-proxy";
        return new HostStatus(
                agent,
                s.get("host").asText(),
                s.get("zone").asText(),
                version,
                time(s.get("inForceSinceMicros").asLong()),
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

    private static String time(long micros) {
        return micros == 0
                ? ""
                : Instant.EPOCH
                        .plus(Duration.ofMillis(TimeUnit.MICROSECONDS.toMillis(micros)))
                        .toString();
    }

    private static String yes(boolean value) {
        return value ? "yes" : "no";
    }
}
