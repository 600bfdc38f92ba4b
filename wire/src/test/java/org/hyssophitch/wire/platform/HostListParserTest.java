package org.hyssophitch.wire.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.control.ListedHost;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/** Tests parsing of the platform's host list. */
public class HostListParserTest {

    @Test
    public void readsEachKindOfEntry() throws IOException {
        List<ListedHost> hosts = parse(
                """
                [{"name":"entry-01","agent":"10.0.0.1:7001","leaving":true,"future":{"x":[1]}},
                 {"name":"b1","agent":"","leaving":false},
                 {"name":"b2","service":"s1","address":"10.0.0.2:9000","zone":"z1","slots":5,"cold-ms":700}]
                """);

        BackendServer b2 = new BackendServer("b2", "10.0.0.2", 9_000, "z1", 5, 0, false);
        assertEquals(
                hosts,
                List.of(
                        new ListedHost("entry-01", "10.0.0.1:7001", true),
                        new ListedHost("b1", "", false),
                        new ListedHost("b2", "", false, Optional.of(new RegisteredServer("s1", b2, 700)))));
    }

    @DataProvider
    public Object[][] invalidRegistrations() {
        return new Object[][] {
            {"\"address\":\"10.0.0.2\""},
            {"\"address\":\"10.0.0:80\""},
            {"\"address\":\"10.0.0.2:0\""},
            {"\"address\":\"10.0.0.2:65536\""},
            {"\"address\":\"10.0.0.256:80\""},
            {"\"address\":\"host:80\""},
            {"\"address\":\"\""},
            {"\"zone\":\"z1\""},
            {"\"address\":\"10.0.0.2:80\",\"slots\":0"},
        };
    }

    /** An invalid registration is ignored without affecting its host entry or other entries. */
    @Test(dataProvider = "invalidRegistrations")
    public void invalidRegistrationIsIgnored(String fields) throws IOException {
        List<ListedHost> hosts =
                parse("[{\"name\":\"b1\",\"service\":\"s1\"," + fields + "},{\"name\":\"b2\",\"leaving\":true}]");

        assertEquals(hosts, List.of(new ListedHost("b1", "", false), new ListedHost("b2", "", true)));
    }

    @Test
    public void malformedListIsAnError() {
        assertThrows(IOException.class, () -> parse("[{\"name\":"));
    }

    private static List<ListedHost> parse(String json) throws IOException {
        return HostListParser.parse(json.getBytes(StandardCharsets.UTF_8));
    }
}
