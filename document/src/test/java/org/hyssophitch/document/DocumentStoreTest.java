package org.hyssophitch.document;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hyssophitch.standin.Deployment;
import org.hyssophitch.standin.DeploymentFiles;
import org.hyssophitch.standin.FakePlatform;
import org.hyssophitch.wire.net.FreePorts;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.platform.PlatformResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests applying documents with concurrent operators, lost responses, stale reads and an outage of the platform. */
public class DocumentStoreTest {

    private static final String DOCUMENT = DeploymentFiles.document(Deployment.GLENMORVEN);

    private String address;
    private FakePlatform platform;
    private DocumentStore store;

    @BeforeMethod
    public void open() {
        address = "127.0.0.1:" + FreePorts.one();
        platform = new FakePlatform(address);
        store = new DocumentStore(new PlatformClient(address));
    }

    @AfterMethod
    public void close() {
        platform.close();
    }

    @Test
    public void writeBasedOnOldVersionGetsConflict() {
        assertEquals(version(store.apply(DOCUMENT, "anna", 0)), 1);
        assertEquals(version(store.apply(DOCUMENT, "bert", 1)), 2);

        ApplyResult late = store.apply(DOCUMENT, "carl", 1);

        assertTrue(
                late instanceof ApplyResult.Conflict c && c.current().author().equals("bert"), late.toString());
        assertEquals(accepted().configuration().version(), 2);
    }

    @Test
    public void onlyOneOfManyConcurrentWritesIsAccepted() {
        store.apply(DOCUMENT, "anna", 0);
        List<CompletableFuture<ApplyResult>> writes = Stream.of("b", "c", "d", "e", "f")
                .map(a -> CompletableFuture.supplyAsync(() -> store.apply(DOCUMENT, a, 1)))
                .toList();
        long count = writes.stream()
                .map(CompletableFuture::join)
                .filter(ApplyResult.Accepted.class::isInstance)
                .count();

        assertEquals(count, 1);
        assertEquals(accepted().configuration().version(), 2);
    }

    @Test
    public void writeWithLostResponseIsRecognised() {
        injectFaults(Map.of("lost-answers", "1"));

        assertEquals(version(store.apply(DOCUMENT, "anna", 0)), 1);
        assertEquals(accepted().configuration().version(), 1);
    }

    @Test
    public void outageIsReportedAsUnknown() {
        injectFaults(Map.of("outage", "true"));

        assertTrue(store.apply(DOCUMENT, "anna", 0) instanceof ApplyResult.Unknown);
    }

    @Test
    public void staleReadIsNotReportedAsConflict() {
        store.apply(DOCUMENT, "anna", 0);
        store.apply(DOCUMENT, "anna", 1);
        injectFaults(Map.of("stale-reads", "1"));

        assertEquals(version(store.apply(DOCUMENT, "anna", 2)), 3);
    }

    @Test
    public void invalidDocumentIsNotWritten() {
        assertTrue(store.apply("services: []", "anna", 0) instanceof ApplyResult.Invalid);
        assertTrue(store.read() instanceof PlatformResult.Absent);
    }

    private ConfigurationRecord accepted() {
        return switch (store.read()) {
            case PlatformResult.Found<ConfigurationRecord> f -> f.value();
            default -> throw new AssertionError("no document was accepted");
        };
    }

    private static long version(ApplyResult result) {
        return result instanceof ApplyResult.Accepted a ? a.version() : -1;
    }

    private void injectFaults(Map<String, String> faults) {
        String query = String.join(
                "&",
                faults.entrySet().stream()
                        .map(e -> e.getKey() + "=" + e.getValue())
                        .toList());
        Request request = new Request.Builder()
                .url("http://" + address + "/faults?" + query)
                .post(RequestBody.create(new byte[0], null))
                .build();
        try (Response response = new OkHttpClient().newCall(request).execute()) {
            assertEquals(response.code(), 200);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
