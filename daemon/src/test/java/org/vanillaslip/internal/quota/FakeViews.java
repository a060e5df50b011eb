package org.vanillaslip.internal.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.Host;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Views of the hosts, one backend server and the lease holder of its shard, set by the test. */
final class FakeViews implements PlacementView {

    private final Configuration mConfiguration;
    private List<Host> mHosts = List.of();
    private Optional<String> mHolder = Optional.empty();
    private Optional<ServerLoad> mLoad = Optional.empty();

    FakeViews(BackendServer server) {
        mConfiguration =
                new Configuration(
                        1,
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        Map.of(server.name(), server),
                        Map.of(),
                        Map.of(),
                        Map.of());
    }

    void setHosts(List<Host> hosts) {
        mHosts = hosts;
    }

    void setHolder(String host) {
        mHolder = Optional.of(host);
    }

    void setLoad(ServerLoad load) {
        mLoad = Optional.of(load);
    }

    ConfigurationView configuration() {
        return new ConfigurationView() {
            @Override
            public Optional<Configuration> current() {
                return Optional.of(mConfiguration);
            }

            @Override
            public Flux<Configuration> changes() {
                return Flux.never();
            }

            @Override
            public Duration age() {
                return Duration.ZERO;
            }
        };
    }

    HostView hosts() {
        return new HostView() {
            @Override
            public List<Host> hosts() {
                return mHosts;
            }

            @Override
            public Flux<List<Host>> changes() {
                return Flux.never();
            }
        };
    }

    @Override
    public Flux<ModelName> changes() {
        return Flux.never();
    }

    @Override
    public List<Replica> replicas(ModelName model) {
        return List.of();
    }

    @Override
    public Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        return Mono.empty();
    }

    @Override
    public void withdraw(ModelName model) {}

    @Override
    public void recordArrival(ModelName model) {}

    @Override
    public Optional<ServerLoad> load(String server) {
        return mLoad;
    }

    @Override
    public Optional<String> holder(String shard) {
        return mHolder;
    }
}
