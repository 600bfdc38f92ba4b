package org.hyssophitch.document;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.standin.Deployment;
import org.hyssophitch.standin.DeploymentFiles;
import org.hyssophitch.wire.yaml.Fault;
import org.hyssophitch.wire.yaml.YamlResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that documents survive a round trip, that every fault of an invalid document is reported, and that the
 * published JSON Schema agrees with the reader.
 */
public class DocumentReaderTest {

    private static final Path SCHEMA = Path.of("..", "docs", "schema", "configuration.schema.json");
    private static final String SERVER = "      - {name: b1, address: 10.0.0.1:80, zone: z1}\n";
    private static final String ROUTE = "  - name: r1\n    host: a.example\n    path-prefix: /x/\n"
            + "    destinations: [{service: s1, weight: 3}]\n";
    private static final String SERVICE = "  - name: s1\n    servers:\n" + SERVER;

    @DataProvider
    public Object[][] deployments() {
        return new Object[][] {{Deployment.GLENMORVEN}, {Deployment.LAKESHORE}};
    }

    @Test(dataProvider = "deployments")
    public void writtenDocumentIsReadBackUnchanged(Deployment d) {
        Configuration read = valid(DeploymentFiles.document(d));

        assertEquals(valid(DocumentWriter.write(read)), read);
    }

    @DataProvider
    public Object[][] faultyDocuments() {
        return new Object[][] {
            {"empty document", "", List.of("WRONG_TYPE  1"), true},
            {"no service", "max-entry-hosts: 3\n", List.of("MISSING_KEY services 1"), true},
            {"unknown key", "servces: []\nservices:\n" + SERVICE, List.of("UNKNOWN_KEY servces 1"), true},
            {
                "two faults at once",
                "max-entry-hosts: none\nservices:\n" + SERVICE + "    criticality: urgent\n",
                List.of("WRONG_TYPE max-entry-hosts 1", "NOT_ALLOWED services[0].criticality 6"),
                true
            },
            {
                "out of range",
                "services:\n" + SERVICE + "    retry: {max-attempts: 99}\n",
                List.of("OUT_OF_RANGE services[0].retry.max-attempts 5"),
                true
            },
            {
                "not an integer",
                "services:\n" + SERVICE + "    sample-size: 1.5\n",
                List.of("WRONG_TYPE services[0].sample-size 5"),
                true
            },
            {
                "string instead of a number",
                "max-entry-hosts: \"3\"\nservices:\n" + SERVICE,
                List.of("WRONG_TYPE max-entry-hosts 1"),
                true
            },
            {
                "number instead of a name",
                "services:\n" + SERVICE.replace("s1", "17"),
                List.of("WRONG_TYPE services[0].name 2"),
                true
            },
            {
                "same server twice",
                "services:\n" + SERVICE + SERVER,
                List.of("DUPLICATE services[0].servers[1].name 5", "DUPLICATE services[0].servers[1].address 5"),
                false
            },
            {
                "hedging with a single attempt",
                "services:\n" + SERVICE + "    retry: {max-attempts: 1}\n",
                List.of("CONTRADICTION services[0].retry.hedge-ratio 5"),
                false
            },
            {
                "connection limit too low",
                "services:\n  - name: s1\n    servers:\n"
                        + "      - {name: b1, address: 10.0.0.1:80, zone: z1, connection-limit: 20}\n",
                List.of("CONTRADICTION services[0].servers[0].connection-limit 4"),
                false
            },
            {"not YAML", "services: [\n", List.of("MALFORMED  2"), true},
        };
    }

    @DataProvider
    public Object[][] faultyRegistrations() {
        return new Object[][] {
            {"no key for servers", "services:\n  - name: s1\n", List.of("MISSING_KEY services[0].servers 2"), true},
            {
                "connection limit too low for servers that register themselves",
                "services:\n  - {name: s1, connection-limit: 20, servers: []}\n",
                List.of("CONTRADICTION services[0].connection-limit 2"),
                false
            },
        };
    }

    @DataProvider
    public Object[][] faultyRoutes() {
        return new Object[][] {
            {
                "route to an unknown service",
                "routes:\n" + ROUTE.replace("s1", "s9") + "services:\n" + SERVICE,
                List.of("CONTRADICTION routes[0].destinations[0].service 5"),
                false
            },
            {
                "route without a destination",
                "routes:\n  - {name: r1, host: a.example, destinations: []}\nservices:\n" + SERVICE,
                List.of("MISSING_KEY routes[0].destinations 2"),
                true
            },
            {
                "route without a positive weight",
                "routes:\n" + ROUTE.replace("weight: 3", "weight: 0") + "services:\n" + SERVICE,
                List.of("CONTRADICTION routes[0].destinations 5"),
                false
            },
            {
                "two routes with the same prefix",
                "routes:\n" + ROUTE + ROUTE.replace("r1", "r2") + "services:\n" + SERVICE,
                List.of("DUPLICATE routes[1].path-prefix 8"),
                false
            },
            {
                "target latency above the timeout",
                "routes:\n" + ROUTE + "    timeout-ms: 100\n    target-latency-ms: 200\nservices:\n" + SERVICE,
                List.of("CONTRADICTION routes[0].target-latency-ms 7"),
                false
            },
            {
                "invalid host and prefix",
                "routes:\n" + ROUTE.replace("a.example", "A:80").replace("/x/", "x") + "services:\n" + SERVICE,
                List.of("NOT_ALLOWED routes[0].host 3", "NOT_ALLOWED routes[0].path-prefix 4"),
                true
            },
            {
                "caller limit out of range",
                "callers: {max-header-bytes: 0}\nservices:\n" + SERVICE,
                List.of("OUT_OF_RANGE callers.max-header-bytes 1"),
                true
            },
        };
    }

    @Test(dataProvider = "faultyRoutes")
    public void everyFaultOfRoutesIsReportedWithItsLine(
            String name, String text, List<String> expected, boolean isDetectedBySchema) throws IOException {
        everyFaultIsReportedWithItsLine(name, text, expected, isDetectedBySchema);
        schemaAgreesOnFaults(name, text, expected, isDetectedBySchema);
    }

    @Test(dataProvider = "faultyRegistrations")
    public void everyFaultOfSelfRegistrationIsReportedWithItsLine(
            String name, String text, List<String> expected, boolean isDetectedBySchema) throws IOException {
        everyFaultIsReportedWithItsLine(name, text, expected, isDetectedBySchema);
        schemaAgreesOnFaults(name, text, expected, isDetectedBySchema);
    }

    @Test(dataProvider = "faultyDocuments")
    public void everyFaultIsReportedWithItsLine(
            String name, String text, List<String> expected, boolean isDetectedBySchema) {
        List<String> found = faults(text).stream()
                .map(f -> f.kind() + " " + f.path() + " " + f.line())
                .toList();

        assertEquals(found, expected, name);
    }

    /** The schema must reject the documents that the reader rejects, except for faults that a schema can't express. */
    @Test(dataProvider = "faultyDocuments")
    public void schemaAgreesOnFaults(String name, String text, List<String> expected, boolean isDetectedBySchema)
            throws IOException {
        boolean isWellFormed = expected.stream().noneMatch(e -> e.startsWith("MALFORMED"));
        if (isWellFormed && !text.isEmpty()) {
            assertEquals(!schemaFaults(text).isEmpty(), isDetectedBySchema, name);
        }
    }

    @Test(dataProvider = "deployments")
    public void schemaAcceptsValidDocuments(Deployment d) throws IOException {
        assertTrue(schemaFaults(DeploymentFiles.document(d)).isEmpty());
        assertTrue(schemaFaults(DocumentWriter.write(valid(DeploymentFiles.document(d))))
                .isEmpty());
    }

    private static Set<ValidationMessage> schemaFaults(String text) throws IOException {
        JsonSchema schema =
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(Files.readString(SCHEMA));
        JsonNode document = new YAMLMapper().readTree(text);
        return schema.validate(document);
    }

    private static Configuration valid(String text) {
        return switch (DocumentReader.read(text)) {
            case YamlResult.Valid<Configuration> v -> v.value();
            case YamlResult.Invalid<Configuration> i ->
                throw new AssertionError(i.faults().toString());
        };
    }

    private static List<Fault> faults(String text) {
        return switch (DocumentReader.read(text)) {
            case YamlResult.Valid<Configuration> v -> List.of();
            case YamlResult.Invalid<Configuration> i -> i.faults();
        };
    }
}
