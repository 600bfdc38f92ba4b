package org.hyssophitch.wire.codec;

import java.util.List;

import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.ColdRule;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Criticality;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.QueueRule;
import org.hyssophitch.core.configuration.RetryRule;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.distribution.ConfigurationChange;
import org.hyssophitch.wire.generated.Wire;

/** Converts configurations and configuration changes to and from protobuf messages. Stateless. */
public final class ConfigurationCodec {

    private static final Criticality[] CRITICALITIES = Criticality.values();
    private static final RoutingKind[] ROUTINGS = RoutingKind.values();

    private ConfigurationCodec() {}

    /** Encodes a complete configuration. */
    public static Wire.Configuration encode(Configuration c) {
        return header(c).addAllServices(encodeServices(c.services())).build();
    }

    /** Decodes a complete configuration. */
    public static Configuration decode(Wire.Configuration c) {
        return new Configuration(
                c.getVersion(),
                c.getRevisionId(),
                c.getMaxEntryHosts(),
                new ProbeBudget(
                        c.getProbesPerSecondPerServer(), c.getProbesPerSecondTotal(), c.getBytesPerSecondTotal()),
                new AddressRule(c.getAddressesPerAnswer(), c.getKeepSeconds()),
                c.getServicesList().stream().map(ConfigurationCodec::decode).toList(),
                c.getRoutesList().stream().map(RouteCodec::decode).toList(),
                c.hasCallerLimits() ? RouteCodec.decode(c.getCallerLimits()) : CallerLimits.DEFAULT,
                TeamCodec.decodeTeams(c.getTeamsList()));
    }

    /** Encodes the difference between two configurations. */
    public static Wire.Configuration encode(ConfigurationChange change) {
        return header(change.header())
                .setBaseVersion(change.baseVersion())
                .addAllServices(encodeServices(change.changed()))
                .addAllRemoved(change.removed())
                .build();
    }

    /** Decodes the difference between two configurations. */
    public static ConfigurationChange decodeChange(Wire.Configuration c) {
        Configuration decoded = decode(c);
        return new ConfigurationChange(c.getBaseVersion(), decoded, decoded.services(), c.getRemovedList());
    }

    private static Wire.Configuration.Builder header(Configuration c) {
        return Wire.Configuration.newBuilder()
                .setVersion(c.version())
                .setRevisionId(c.revisionId())
                .setMaxEntryHosts(c.maxEntryHosts())
                .setProbesPerSecondPerServer(c.probeBudget().probesPerSecondPerServer())
                .setProbesPerSecondTotal(c.probeBudget().probesPerSecondTotal())
                .setBytesPerSecondTotal(c.probeBudget().bytesPerSecondTotal())
                .setAddressesPerAnswer(c.addresses().addressesPerAnswer())
                .setKeepSeconds(c.addresses().ttlSeconds())
                .addAllRoutes(c.routes().stream().map(RouteCodec::encode).toList())
                .setCallerLimits(RouteCodec.encode(c.limits()))
                .addAllTeams(TeamCodec.encodeTeams(c.teams()));
    }

    private static List<Wire.Service> encodeServices(List<Service> services) {
        return services.stream().map(ConfigurationCodec::encode).toList();
    }

    private static Wire.Service encode(Service s) {
        return Wire.Service.newBuilder()
                .setName(s.name())
                .setCriticality(s.criticality().ordinal())
                .setRouting(s.routing().ordinal())
                .setSampleSize(s.sampleSize())
                .setMaxAttempts(s.retry().maxAttempts())
                .setRetryRatio(s.retry().retryRatio())
                .setHedgeRatio(s.retry().hedgeRatio())
                .setHedgeAfterMillis(s.retry().hedgeAfterMillis())
                .setMaxQueued(s.queue().maxQueued())
                .setDefaultDeadlineMillis(s.queue().defaultDeadlineMillis())
                .setStallMillis(s.queue().stallMillis())
                .setHealthPath(s.healthPath())
                .setConnectionLimit(s.connectionLimit())
                .setCold(Wire.ColdRule.newBuilder()
                        .setPeriodMillis(s.cold().periodMillis())
                        .setRequestsPerSecond(s.cold().requestsPerSecond()))
                .addAllServers(
                        s.servers().stream().map(ConfigurationCodec::encode).toList())
                .build();
    }

    private static Service decode(Wire.Service s) {
        Service.Builder b = Service.builder(s.getName());
        if (!s.getHealthPath().isEmpty()) {
            b.healthPath(s.getHealthPath()).connectionLimit(s.getConnectionLimit());
        }
        return b.criticality(CRITICALITIES[Math.floorMod(s.getCriticality(), CRITICALITIES.length)])
                .routing(ROUTINGS[Math.floorMod(s.getRouting(), ROUTINGS.length)])
                .sampleSize(s.getSampleSize())
                .retry(new RetryRule(s.getMaxAttempts(), s.getRetryRatio(), s.getHedgeRatio(), s.getHedgeAfterMillis()))
                .queue(new QueueRule(s.getMaxQueued(), s.getDefaultDeadlineMillis(), s.getStallMillis()))
                .cold(new ColdRule(s.getCold().getPeriodMillis(), s.getCold().getRequestsPerSecond()))
                .servers(s.getServersList().stream()
                        .map(ConfigurationCodec::decode)
                        .toList())
                .build();
    }

    static Wire.BackendServer encode(BackendServer b) {
        return Wire.BackendServer.newBuilder()
                .setName(b.name())
                .setHost(b.host())
                .setPort(b.port())
                .setZone(b.zone())
                .setSlots(b.slots())
                .setConnectionLimit(b.connectionLimit())
                .setDraining(b.draining())
                .setInstance(b.instance())
                .build();
    }

    static BackendServer decode(Wire.BackendServer b) {
        return new BackendServer(
                b.getName(),
                b.getHost(),
                b.getPort(),
                b.getZone(),
                b.getSlots(),
                b.getConnectionLimit(),
                b.getDraining(),
                b.getInstance());
    }
}
