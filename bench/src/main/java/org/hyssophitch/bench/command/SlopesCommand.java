package org.hyssophitch.bench.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.bench.CapacityTable;
import org.hyssophitch.bench.Slopes;

/** Measures the inputs of the capacity model and updates the table in {@code CAPACITY.md}. */
@Command(name = "slopes", description = "measures the inputs of docs/CAPACITY.md and updates its table")
public final class SlopesCommand implements BenchCommand {

    @Option(name = "--docs", title = "directory", description = "directory of CAPACITY.md and slopes.json")
    private String docs = "docs";

    @Override
    public int execute() throws IOException {
        Slopes slopes = Slopes.measure();
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        Files.writeString(Path.of(docs, "slopes.json"), mapper.writeValueAsString(slopes) + "\n");
        Path page = Path.of(docs, "CAPACITY.md");
        String table = CapacityTable.of(slopes);
        if (Files.exists(page)) {
            Files.writeString(page, replaceTable(Files.readString(page), table));
        }
        System.out.print(table);
        return 0;
    }

    private static String replaceTable(String page, String table) {
        int begin = page.indexOf(CapacityTable.BEGIN);
        int end = page.indexOf(CapacityTable.END);
        return page.substring(0, begin) + table + page.substring(end + CapacityTable.END.length() + 1);
    }
}
