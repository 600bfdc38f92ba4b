package org.hyssophitch.standin;

import java.io.IOException;
import java.util.Map;
import java.util.stream.Collectors;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Injects faults into the fakes of a deployment. Thread-safe. */
public final class FaultClient {

    private final OkHttpClient client = new OkHttpClient();
    private final Deployment deployment;

    /** Creates a client for a deployment's fakes. */
    public FaultClient(Deployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Changes the faults of a backend server.
     *
     * @return status code and body of the response
     * @throws IOException if the control address is unreachable
     */
    public String setServerFaults(String name, Map<String, String> faults) throws IOException {
        return post(deployment.serverControl(), "server=" + name + "&" + query(faults));
    }

    /**
     * Changes the faults of the platform.
     *
     * @return status code and body of the response
     * @throws IOException if the control address is unreachable
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
