package org.vanillaslip.internal.proofs.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.Configuration;
import org.vanillaslip.Plan;
import org.vanillaslip.Refusal;
import org.vanillaslip.Workspace;
import org.vanillaslip.WorkspaceEntry;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.gateway.QuotaCharge;
import org.vanillaslip.internal.peer.PeerExchange;
import org.vanillaslip.internal.peer.PeerTimes;
import org.vanillaslip.internal.quota.QuotaService;
import org.vanillaslip.internal.quota.QuotaTimes;
import org.vanillaslip.internal.quota.ShareTable;
import org.vanillaslip.internal.quota.ShareView;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.Heartbeat;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Runs the quota services of all hosts of a deployment in one process and virtual time. */
final class SimulatedHosts {

    private final VirtualScheduler mScheduler;
    private final DecisionLoop mLoop;
    private final DeploymentScenario mScenario;
    private final QuotaPolicy mPolicy;
    private final SplittableRandom mRandom;
    private final Configuration mConfiguration;
    private final Map<String, Long> mPartsByHost = new HashMap<>();
    private final Map<String, PeerExchange> mExchanges = new HashMap<>();
    private final List<QuotaService> mServices = new ArrayList<>();
    private long mMessages;

    SimulatedHosts(
            DeploymentScenario scenario,
            QuotaPolicy policy,
            VirtualScheduler scheduler,
            long seed) {
        mScenario = scenario;
        mPolicy = policy;
        mScheduler = scheduler;
        mLoop = new DecisionLoop(scheduler, scheduler::nowNanos);
        mRandom = new SplittableRandom(seed);
        mConfiguration = configuration(scenario);
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < scenario.hosts(); i++) {
            names.add(hostName(i));
        }
        mPartsByHost.putAll(ShareTable.divide(ShareTable.TOTAL_PARTS, names));
        if (policy == QuotaPolicy.NO_SHARING) {
            mPartsByHost.replaceAll((host, parts) -> ShareTable.TOTAL_PARTS);
        }
        for (int i = 0; i < scenario.hosts(); i++) {
            mServices.add(startService(hostName(i)));
        }
    }

    Mono<Either<Refusal, QuotaCharge>> charge(Arrival arrival, Duration wait) {
        Workspace workspace = new Workspace(arrival.load().workspace());
        return mServices.get(arrival.host()).charge(workspace, arrival.tokens(), wait);
    }

    void settle(int host, QuotaCharge charge) {
        mServices.get(host).settle(charge, charge.tokens());
    }

    /** Returns the number of messages sent so far, excluding heartbeats. */
    long messages() {
        return mMessages;
    }

    private QuotaService startService(String host) {
        PeerExchange exchange =
                new PeerExchange(
                        host,
                        "1",
                        mLoop,
                        (to, message) -> send(host, to, message),
                        mRandom.nextLong() >>> 1,
                        PeerTimes.DEFAULT.silenceTimeout());
        mExchanges.put(host, exchange);
        mScheduler.schedulePeriodically(() -> sendHeartbeats(exchange), 0, 1, TimeUnit.SECONDS);
        QuotaService service =
                new QuotaService(
                        host,
                        mLoop,
                        configurationView(),
                        exchange,
                        shareView(host),
                        QuotaTimes.DEFAULT,
                        () -> mRandom.nextLong() | 1,
                        (event, fields) -> {});
        service.start();
        return service;
    }

    private void sendHeartbeats(PeerExchange exchange) {
        Envelope.Builder heartbeat =
                Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance());
        mExchanges.keySet().forEach(to -> exchange.send(to, heartbeat));
        exchange.updateLiveHosts();
    }

    private boolean send(String from, String to, Envelope message) {
        if (from.equals(to) || mPolicy != QuotaPolicy.OWNED_SHARES) {
            return false;
        }
        mMessages += message.hasHeartbeat() ? 0 : 1;
        boolean sameDomain = failureDomain(from) == failureDomain(to);
        long delay = sameDomain ? mScenario.oneWayNanos() / 5 : mScenario.oneWayNanos();
        PeerExchange receiver = mExchanges.get(to);
        if (receiver == null) {
            return false;
        }
        mScheduler.schedule(() -> receiver.receive(message), delay, TimeUnit.NANOSECONDS);
        return true;
    }

    private int failureDomain(String host) {
        return Integer.parseInt(host.substring(host.indexOf('-') + 1)) % mScenario.failureDomains();
    }

    private ShareView shareView(String host) {
        return new ShareView() {
            @Override
            public Map<String, Long> partsByHost() {
                return mPartsByHost;
            }

            @Override
            public long ownParts() {
                return mPartsByHost.getOrDefault(host, 0L);
            }
        };
    }

    private ConfigurationView configurationView() {
        return new ConfigurationView() {
            @Override
            public Optional<Configuration> current() {
                return Optional.of(mConfiguration);
            }

            @Override
            public Flux<Configuration> changes() {
                return Flux.empty();
            }

            @Override
            public Duration age() {
                return Duration.ZERO;
            }
        };
    }

    private static Configuration configuration(DeploymentScenario scenario) {
        Map<String, Plan> plans = new HashMap<>();
        Map<String, WorkspaceEntry> workspaces = new HashMap<>();
        for (WorkspaceLoad load : scenario.loads()) {
            String name = load.workspace();
            plans.put(
                    name,
                    new Plan(name, Set.of(), Set.of(), load.tokensPerSecond(), load.burstTokens()));
            workspaces.put(name, new WorkspaceEntry(name, name, Set.of()));
        }
        return new Configuration(
                1, plans, workspaces, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    private static String hostName(int host) {
        return "host-" + host;
    }
}
