package org.hyssophitch.proxy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Backend server for tests that responds to every request with given bytes, which may violate HTTP. */
final class RawServer implements AutoCloseable {

    /** Whether the server responds, and what it does with the connection afterwards. */
    enum ResponseMode {
        KEEP_OPEN,
        CLOSE,
        /** Sends no response and keeps the connection open. */
        SILENT
    }

    private final ServerSocket socket;
    private final List<String> requestLines = new CopyOnWriteArrayList<>();
    private volatile byte[] response;
    private volatile ResponseMode mode;
    private volatile Duration delay;

    RawServer(String response, ResponseMode mode) throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        respondWith(response, mode);
        Thread.startVirtualThread(this::accept);
    }

    void respondWith(String newResponse, ResponseMode newMode) {
        respondWith(newResponse, newMode, Duration.ZERO);
    }

    void respondWith(String newResponse, ResponseMode newMode, Duration newDelay) {
        delay = newDelay;
        response = newResponse.getBytes(StandardCharsets.ISO_8859_1);
        mode = newMode;
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Returns the request line of every request except load probes. */
    List<String> requestLines() {
        return requestLines;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                Thread.startVirtualThread(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = connection.getOutputStream();
            String line = in.readLine();
            while (line != null) {
                skipHeadersAndBody(in);
                boolean isProbe = line.startsWith("GET /load ");
                if (!isProbe) {
                    requestLines.add(line);
                    Thread.sleep(delay);
                }
                if (mode == ResponseMode.SILENT && !isProbe) {
                    line = in.readLine();
                    continue;
                }
                out.write(isProbe ? "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes() : response);
                out.flush();
                if (mode == ResponseMode.CLOSE && !isProbe) {
                    return;
                }
                line = in.readLine();
            }
        } catch (IOException | InterruptedException e) {
            // The proxy may close the connection at any time.
        }
    }

    private static void skipHeadersAndBody(BufferedReader in) throws IOException {
        int length = 0;
        String header = in.readLine();
        while (header != null && !header.isEmpty()) {
            if (header.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(
                        header.substring("content-length:".length()).trim());
            }
            header = in.readLine();
        }
        for (int i = 0; i < length; i++) {
            in.read();
        }
    }
}
