package org.hyssophitch.wire.net;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that the end of an event loop is noticed. */
public class EventLoopsTest {

    private static final int TIMEOUT_SECONDS = 10;

    /** Guards against a process that stays without its event loop after a lack of memory, and answers nobody. */
    @Test
    public void endOfALoopByAnErrorIsReported() throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        IoHandlerFactory nio = NioIoHandler.newFactory();
        IoHandlerFactory failing = executor -> failing(nio.newHandler(executor));
        EventLoopGroup group = EventLoops.create(1, ended::countDown, failing);
        group.next().execute(() -> {});
        assertTrue(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** A loop that runs isn't reported; one that is closed is. */
    @Test
    public void endOfALoopByCloseIsReported() throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        EventLoopGroup group = EventLoops.create(1, ended::countDown);
        EventLoops.run(group.next(), () -> {});
        assertEquals(ended.getCount(), 1);
        EventLoops.close(group);
        assertTrue(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private static IoHandler failing(IoHandler handler) {
        return (IoHandler) Proxy.newProxyInstance(
                IoHandler.class.getClassLoader(), new Class<?>[] {IoHandler.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("run")) {
                        throw new OutOfMemoryError("for the test");
                    }
                    try {
                        return method.invoke(handler, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }
}
