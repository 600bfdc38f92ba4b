package org.hyssophitch.bench.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.bench.day.DayPlan;
import org.hyssophitch.bench.day.DayPlot;
import org.hyssophitch.bench.day.DayReader;
import org.hyssophitch.bench.day.DayResult;
import org.hyssophitch.bench.day.DayRun;
import org.hyssophitch.bench.day.DayScore;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.wire.yaml.SettingsFile;
import org.hyssophitch.wire.yaml.YamlMapping;

/** Simulates days with each routing policy and prints their scores. */
@Command(name = "day", description = "simulates days in virtual time; deterministic for a given seed")
public final class DayCommand implements BenchCommand {

    @Arguments(title = "file", description = "YAML files, each describing a deployment and one day")
    private List<String> files = new ArrayList<>();

    @Option(name = "--seed", title = "seed", description = "random seed of every run")
    private long seed = 1;

    @Option(name = "--policy", title = "name", description = "simulates only this policy; may be given several times")
    private List<RoutingKind> policies = new ArrayList<>();

    @Option(name = "--plots", title = "directory", description = "directory for plots; without it, none are written")
    private String plots = "";

    @Override
    public int execute() throws IOException {
        if (files.isEmpty()) {
            System.err.println("at least one file is required, for example bench/days/glenmorven-quiet.yaml");
            return BenchMain.EXIT_USAGE;
        }
        System.out.println("| day | policy | worth | worst windows | whole day | served | worst kind | requests"
                + " | extra attempts per request | over budget by | load probes per request | violations |");
        System.out.println("|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
        boolean isValid = true;
        for (String file : files) {
            isValid &= simulate(Path.of(file));
        }
        return isValid ? 0 : 1;
    }

    private boolean simulate(Path file) throws IOException {
        DayPlan plan = SettingsFile.readOrExit(file, m -> new DayReader().read(m));
        List<RoutingKind> chosen = policies.isEmpty() ? DayRun.POLICIES : policies;
        List<DayResult> results =
                chosen.parallelStream().map(p -> DayRun.simulate(plan, p, seed)).toList();
        results.forEach(r -> print(plan, r));
        if (!plots.isEmpty()) {
            Files.createDirectories(Path.of(plots));
            Files.writeString(Path.of(plots, "day-" + plan.name() + ".svg"), DayPlot.draw(plan, results));
        }
        return results.stream().allMatch(r -> r.violations().isEmpty());
    }

    private static void print(DayPlan plan, DayResult r) {
        DayScore s = r.score();
        System.out.printf(
                "| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %.3f | %.0f | %.2f | %d |%n",
                plan.name(),
                YamlMapping.nameOf(r.policy()),
                s.total(),
                s.worstWindows(),
                s.wholeDay(),
                s.served(),
                s.worstKind(),
                r.requests(),
                r.extraAttemptsPerRequest(),
                r.extraAttemptExcess(),
                r.loadProbesPerRequest(),
                r.violations().size());
    }
}
