package org.hyssophitch.http;

import java.util.zip.CRC32C;

import io.netty.buffer.ByteBuf;

/**
 * Body of a caller's request: buffered while it is small, so that it can be replayed for further attempts, and streamed
 * if it is larger. Not thread-safe; confined to one event loop.
 */
final class RequestBody {

    /** Maximum size in bytes of a body that is buffered for further attempts. */
    static final int MAX_REPLAY_BYTES = 65_536;

    /**
     * Maximum size in bytes that is received of a body before it is passed on. The close of a caller that leaves
     * arrives behind the bytes that it has sent.
     */
    private static final int MAX_AHEAD_BYTES = 262_144;

    /** Receives a body piece by piece. */
    interface Sink {

        /** Writes a piece, and releases it. */
        void write(ByteBuf piece);

        /** Sends what was written. */
        void flush();

        /** Called after the last piece. */
        void end();
    }

    private final UploadMemory memory;
    private final BodyBuffer buffer = new BodyBuffer();
    private final CRC32C checksum = new CRC32C();
    private long size;
    private boolean isComplete;
    private Sink sink;
    private int recordedBytes;

    RequestBody(UploadMemory memory) {
        this.memory = memory;
    }

    /** Adds a piece and takes ownership of it. A streamed body is passed on at the next {@link #flush} or before. */
    void add(ByteBuf piece) {
        size += piece.readableBytes();
        if (sink == null) {
            checksum.update(piece.nioBuffer());
        }
        buffer.add(piece);
        recordMemory();
        if (exceedsReplayLimit()) {
            flush();
        }
    }

    /** Passes on what has been added to a body that is streamed. */
    void flush() {
        if (sink != null && !buffer.isEmpty()) {
            drain();
            sink.flush();
        }
    }

    /** Marks the body as complete. */
    void complete() {
        isComplete = true;
        if (sink != null) {
            drain();
            sink.end();
        }
    }

    long size() {
        return size;
    }

    boolean isComplete() {
        return isComplete;
    }

    /** Returns whether the body can be sent more than once. */
    boolean isReplayable() {
        return isComplete && sink == null && size <= MAX_REPLAY_BYTES;
    }

    /** Returns whether more bytes are buffered than are kept for further attempts. */
    boolean exceedsReplayLimit() {
        return buffer.size() > MAX_REPLAY_BYTES;
    }

    /** Returns whether no more bytes are to be received until some were passed on. */
    boolean isFull() {
        return buffer.size() > (memory.isScarce() ? MAX_REPLAY_BYTES : MAX_AHEAD_BYTES);
    }

    long checksum() {
        return checksum.getValue();
    }

    /** Writes the buffered body to a sink, and keeps it for further attempts. */
    void replayTo(Sink target) {
        buffer.blocks().forEach(b -> target.write(b.retainedDuplicate()));
        target.end();
    }

    /** Streams the buffered pieces and all later ones to a sink; the body can't be sent again. */
    void streamTo(Sink target) {
        sink = target;
        drain();
        if (isComplete) {
            target.end();
        } else {
            target.flush();
        }
    }

    void release() {
        buffer.clear();
        recordMemory();
    }

    private void recordMemory() {
        memory.add(buffer.size() - recordedBytes);
        recordedBytes = buffer.size();
    }

    private void drain() {
        for (ByteBuf block = buffer.poll(); block != null; block = buffer.poll()) {
            sink.write(block);
        }
        recordMemory();
    }
}
