package org.hyssophitch.standin;

import java.io.IOException;
import java.util.Map;
import java.util.stream.Collectors;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Switches faults of the stand-ins. Thread-safe. */
public final class FaultClient {

    private final OkHttpClient client = new OkHttpClient();
    private final Deployment deployment;

    /** Creates a client for a deployment's stand-ins. */
    public FaultClient(Deployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Changes the faults of a backend server.
     *
     * @return the stand-in's answer
     * @throws IOException when the stand-in can't be reached
     */
    public String setServerFaults(String name, Map<String, String> faults) throws IOException {
        return post(deployment.serverControl(), "server=" + name + "&" + query(faults));
    }

    /**
     * Changes the faults of the platform.
     *
     * @return the stand-in's answer
     * @throws IOException when the stand-in can't be reached
     */
    public String setPlatformFaults(Map<String, String> faults) throws IOException {
        return post(deployment.platform(), query(faults));
    }

    private static String query(Map<String, String> faults) {
        return faults.entrySet().stream()
                .map(e -> e.getKey() + "=" + e.getValue())
                .collect(Collectors.joining("&"));
    }

    private String post(String address, String query) throws IOException {
        Request request = new Request.Builder()
                .url("http://" + address + "/faults?" + query)
                .post(RequestBody.create(new byte[0], null))
                .build();
        try (Response response = client.newCall(request).execute()) {
            return response.code() + " " + response.body().string();
        }
    }
}
