package org.hyssophitch.standin.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import org.hyssophitch.standin.FaultClient;

/** Injects faults into running fakes. */
@Command(name = "fault", description = "injects faults into a backend server or the platform")
@Examples(
        examples = {
            "hyssophitch-standin fault --server mastwatch-1 slow=20",
            "hyssophitch-standin fault --server mastwatch-1 slow=1 silent=true",
            "hyssophitch-standin fault outage=true"
        },
        descriptions = {
            "slows a server down",
            "makes its open connections stop responding",
            "starts an outage of the platform"
        })
public final class FaultCommand implements StandinCommand {

    @AirlineModule
    private ProfileOption profile = new ProfileOption();

    @Option(name = "--server", title = "name", description = "backend server; default: the platform")
    private String server = "";

    @Arguments(
            title = "fault=value",
            description = "servers: slow, fail-fast, drain, truncate, shed, false-load, load-lag-ms, hide-age, limit,"
                    + " retry-after, silent, crash; platform: outage, lost-answers, stale-reads, rate, host-lag-ms")
    private List<String> faults = new ArrayList<>();

    @Override
    public int execute() throws Exception {
        Map<String, String> values = faults.stream()
                .map(f -> f.split("=", 2))
                .collect(Collectors.toMap(p -> p[0], p -> p.length > 1 ? p[1] : "true"));
        FaultClient client = new FaultClient(profile.deployment());
        System.out.println(
                server.isEmpty() ? client.setPlatformFaults(values) : client.setServerFaults(server, values));
        return 0;
    }
}
