package org.hyssophitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.zip.CRC32C;

import io.netty.buffer.ByteBuf;

/**
 * Body of a caller's request: kept whole while it is small, so that it can be sent again, and handed on piece by piece
 * above that. Not thread-safe; lives on one event loop.
 */
final class RequestBody {

    /** Size in bytes up to which a body is kept for further attempts. */
    static final int MAX_REPLAY_BYTES = 65_536;

    /** Takes the pieces of a body that is too large to be kept. */
    interface Sink {

        /** Takes a piece, and releases it. */
        void write(ByteBuf piece);

        /** The body is complete. */
        void end();
    }

    private final Deque<ByteBuf> pieces = new ArrayDeque<>();
    private final CRC32C checksum = new CRC32C();
    private long size;
    private long bufferedBytes;
    private boolean isComplete;
    private Sink sink;

    /** Takes a piece; the body owns it from now on. */
    void add(ByteBuf piece) {
        size += piece.readableBytes();
        if (sink != null) {
            sink.write(piece);
            return;
        }
        checksum.update(piece.nioBuffer());
        bufferedBytes += piece.readableBytes();
        pieces.add(piece);
    }

    /** Notes that the last piece was added. */
    void complete() {
        isComplete = true;
        if (sink != null) {
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

    /** Returns whether more than what is kept for further attempts has arrived. */
    boolean exceedsReplayLimit() {
        return bufferedBytes > MAX_REPLAY_BYTES;
    }

    long checksum() {
        return checksum.getValue();
    }

    /** Sends a kept body to a sink, and keeps it. */
    void replayTo(Sink target) {
        pieces.forEach(p -> target.write(p.retainedDuplicate()));
        target.end();
    }

    /** Sends what has arrived and everything that follows to the one sink that will ever get it. */
    void streamTo(Sink target) {
        sink = target;
        pieces.forEach(target::write);
        pieces.clear();
        bufferedBytes = 0;
        if (isComplete) {
            target.end();
        }
    }

    void release() {
        pieces.forEach(ByteBuf::release);
        pieces.clear();
        bufferedBytes = 0;
    }
}
