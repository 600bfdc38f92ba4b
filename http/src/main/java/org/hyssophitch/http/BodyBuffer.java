package org.hyssophitch.http;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Part of a body that waits to be passed on. Small pieces are copied together into blocks, so that the memory in use
 * follows the number of bytes, whatever the size of the pieces in which they arrive. Not thread-safe.
 */
final class BodyBuffer {

    /** Size in bytes of a block, and of the smallest piece that is kept as it is. */
    private static final int BLOCK_BYTES = 4_096;

    private static final int INITIAL_BLOCK_BYTES = 256;

    private final Deque<ByteBuf> blocks = new ArrayDeque<>();
    /** Last block, if pieces can be appended to it. */
    private ByteBuf openBlock;

    private int size;

    /** Adds a piece and takes ownership of it. */
    void add(ByteBuf piece) {
        int length = piece.readableBytes();
        size += length;
        if (length >= BLOCK_BYTES) {
            blocks.add(piece);
            openBlock = null;
            return;
        }
        if (length > 0) {
            blockFor(length).writeBytes(piece);
        }
        piece.release();
    }

    /** Removes and returns the first block, which the receiver must release; null if there is none. */
    ByteBuf poll() {
        ByteBuf block = blocks.poll();
        if (block != null) {
            size -= block.readableBytes();
            openBlock = block == openBlock ? null : openBlock;
        }
        return block;
    }

    /** Returns the blocks, which stay in the buffer. */
    Iterable<ByteBuf> blocks() {
        return blocks;
    }

    /** Returns the number of bytes. */
    int size() {
        return size;
    }

    boolean isEmpty() {
        return blocks.isEmpty();
    }

    /** Discards all bytes. */
    void clear() {
        blocks.forEach(ByteBuf::release);
        blocks.clear();
        openBlock = null;
        size = 0;
    }

    private ByteBuf blockFor(int length) {
        if (openBlock == null || openBlock.maxWritableBytes() < length) {
            openBlock = Unpooled.buffer(Math.max(length, INITIAL_BLOCK_BYTES), BLOCK_BYTES);
            blocks.add(openBlock);
        }
        return openBlock;
    }
}
