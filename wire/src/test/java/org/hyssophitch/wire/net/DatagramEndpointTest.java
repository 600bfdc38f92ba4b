package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.wire.generated.Wire;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Messages between hosts arrive whatever their size. */
public class DatagramEndpointTest {

    private static final long MAX_SECONDS = 5;
    private static final Wire.Heartbeat HEARTBEAT =
            Wire.Heartbeat.newBuilder().setSequence(7).build();

    private final BlockingQueue<Wire.AgentDatagram> received = new LinkedBlockingQueue<>();
    private EventLoopGroup group;
    private DatagramEndpoint from;
    private DatagramEndpoint to;
    private String address;

    @BeforeMethod
    void open() {
        received.clear();
        group = EventLoops.create(1);
        int port = FreePorts.one();
        address = "127.0.0.1:" + port;
        to = new DatagramEndpoint(group, new InetSocketAddress("127.0.0.1", port), received::add);
        from = new DatagramEndpoint(group, new InetSocketAddress("127.0.0.1", FreePorts.one()), d -> {});
    }

    @AfterMethod
    void close() {
        from.close();
        to.close();
        EventLoops.close(group);
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{1, 10}, {2, 900}, {10, 900}, {40, 100}, {2_000, 30}, {3, 1_900}};
    }

    /** Hosts took each other for dead when their heartbeats carried more than 2,048 bytes of suspicions. */
    @Test(dataProvider = "sizes")
    public void heartbeatArrivesWithAllThatItCarries(int suspicions, int bytes) throws Exception {
        Set<String> sent = IntStream.range(0, suspicions)
                .mapToObj(i -> "x".repeat(bytes) + i)
                .collect(Collectors.toSet());
        from.send(address, message(sent));
        Wire.AgentDatagram first = next();
        assertEquals(first.getHeartbeat(), HEARTBEAT);
        Set<String> fingerprints = fingerprints(first);
        while (fingerprints.size() < sent.size()) {
            fingerprints.addAll(fingerprints(next()));
        }
        assertEquals(fingerprints, sent);
        assertEquals(from.undeliverable(), 0);
        assertEquals(to.malformed(), 0);
    }

    /** A host of an earlier build reads 2,048 bytes of each datagram. */
    @Test(dataProvider = "sizes")
    public void datagramsAreSmallEnoughForAnEarlierBuild(int suspicions, int bytes) {
        Set<String> sent = IntStream.range(0, suspicions)
                .mapToObj(i -> "x".repeat(bytes) + i)
                .collect(Collectors.toSet());
        List<Wire.AgentDatagram> divided = DatagramDivider.divide(message(sent), n -> {});
        assertTrue(divided.stream().allMatch(d -> d.getSerializedSize() <= DatagramDivider.MAX_BYTES));
        assertTrue(divided.stream().allMatch(d -> d.getSender().getHost().equals("host-1")));
        assertEquals(divided.stream().filter(Wire.AgentDatagram::hasHeartbeat).count(), 1);
    }

    /** A part that no host could read is counted, and the rest of the message arrives. */
    @Test
    public void partThatFitsIntoNoDatagramIsLeftOut() throws Exception {
        from.send(address, message(Set.of("x".repeat(5_000), "short")));
        Set<String> fingerprints = fingerprints(next());
        if (fingerprints.isEmpty()) {
            fingerprints.addAll(fingerprints(next()));
        }
        assertEquals(fingerprints, Set.of("short"));
        assertEquals(from.undeliverable(), 1);
    }

    /** A host of an earlier build sends all in one datagram, however large. */
    @Test
    public void largeDatagramOfAnEarlierBuildIsRead() throws Exception {
        Wire.AgentDatagram large = message(Set.of("x".repeat(60_000)));
        try (java.net.DatagramSocket socket = new java.net.DatagramSocket()) {
            byte[] bytes = large.toByteArray();
            socket.send(new java.net.DatagramPacket(bytes, bytes.length, Addresses.parse(address)));
        }
        assertEquals(next(), large);
    }

    /** The buffer into which a socket reads was never freed. */
    @Test
    public void bufferIsFreedOnceTheSocketIsClosed() {
        DatagramBuffer buffer = new DatagramBuffer();
        ByteBuf datagram = buffer.newHandle().allocate(UnpooledByteBufAllocator.DEFAULT);
        datagram.release();
        assertEquals(datagram.refCnt(), 1);
        buffer.release();
        buffer.release();
        assertEquals(datagram.refCnt(), 0);
    }

    private static Wire.AgentDatagram message(Set<String> fingerprints) {
        Wire.AgentDatagram.Builder b = Wire.AgentDatagram.newBuilder()
                .setSender(Wire.Member.newBuilder().setHost("host-1"))
                .setHeartbeat(HEARTBEAT);
        fingerprints.forEach(f -> b.addSuspicions(Wire.Suspicion.newBuilder().setFingerprint(f)));
        return b.build();
    }

    private static Set<String> fingerprints(Wire.AgentDatagram d) {
        return d.getSuspicionsList().stream()
                .map(Wire.Suspicion::getFingerprint)
                .collect(Collectors.toSet());
    }

    private Wire.AgentDatagram next() throws InterruptedException {
        Wire.AgentDatagram d = received.poll(MAX_SECONDS, TimeUnit.SECONDS);
        assertTrue(d != null, "no datagram");
        return d;
    }
}
