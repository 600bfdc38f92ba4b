package org.hyssophitch.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Checks that the table on the capacity page was generated from the committed measurements. */
public class CapacityTableTest {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    public void tableOnCapacityPageMatchesSlopesFile() throws IOException {
        Slopes slopes = new ObjectMapper().readValue(DOCS.resolve("slopes.json").toFile(), Slopes.class);
        String page = Files.readString(DOCS.resolve("CAPACITY.md"));
        int begin = page.indexOf(CapacityTable.BEGIN);
        int end = page.indexOf(CapacityTable.END) + CapacityTable.END.length() + 1;

        assertEquals(page.substring(begin, end), CapacityTable.of(slopes));
    }
}
