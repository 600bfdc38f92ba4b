package org.hyssophitch.wire.codec;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.control.ProxyUpdate;
import org.hyssophitch.core.control.RegistrationNotice;
import org.hyssophitch.wire.generated.Wire;

/** Converts registrations of backend servers to and from protobuf messages. Stateless. */
final class RegistrationCodec {

    private RegistrationCodec() {}

    static Wire.Registrations encode(ProxyUpdate.Registrations r) {
        return Wire.Registrations.newBuilder()
                .setComplete(r.isComplete())
                .addAllServers(
                        r.servers().stream().map(RegistrationCodec::encode).toList())
                .addAllGone(r.gone())
                .build();
    }

    static ProxyUpdate.Registrations decode(Wire.Registrations r) {
        return new ProxyUpdate.Registrations(
                r.getComplete(),
                r.getServersList().stream().map(RegistrationCodec::decode).toList(),
                Set.copyOf(r.getGoneList()));
    }

    static List<Wire.RegistrationNotice> encodeNotices(List<RegistrationNotice> list) {
        return list.stream().map(RegistrationCodec::encode).toList();
    }

    static List<RegistrationNotice> decodeNotices(List<Wire.RegistrationNotice> list) {
        return list.stream()
                .map(n -> new RegistrationNotice(
                        n.getServer(),
                        n.hasRegistration() ? Optional.of(decode(n.getRegistration())) : Optional.empty(),
                        n.getStatedMicros()))
                .toList();
    }

    private static Wire.RegistrationNotice encode(RegistrationNotice n) {
        Wire.RegistrationNotice.Builder b =
                Wire.RegistrationNotice.newBuilder().setServer(n.server()).setStatedMicros(n.statedMicros());
        n.registration().map(RegistrationCodec::encode).ifPresent(b::setRegistration);
        return b.build();
    }

    private static Wire.RegisteredServer encode(RegisteredServer r) {
        return Wire.RegisteredServer.newBuilder()
                .setService(r.service())
                .setServer(ConfigurationCodec.encode(r.server()))
                .setColdMillis(r.coldMillis())
                .setSequence(r.sequence())
                .build();
    }

    private static RegisteredServer decode(Wire.RegisteredServer r) {
        return new RegisteredServer(
                r.getService(), ConfigurationCodec.decode(r.getServer()), r.getColdMillis(), r.getSequence());
    }
}
