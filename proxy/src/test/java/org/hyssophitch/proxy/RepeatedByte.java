package org.hyssophitch.proxy;

import java.io.IOException;

import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/** Request body that consists of one repeated byte and is never held in memory as a whole. */
final class RepeatedByte extends RequestBody {
    private final int size;

    RepeatedByte(int size) {
        this.size = size;
    }

    @Override
    public MediaType contentType() {
        return null;
    }

    @Override
    public long contentLength() {
        return size;
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
        for (int i = 0; i < size; i++) {
            sink.writeByte('x');
        }
    }
}
