package org.vanillaslip.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against invalid settings that are accepted and faults that are reported one by one. */
class SettingsReaderTest {
    private static final String MINIMAL =
            """
            [host]
            name = a1
            failure_domain = a
            gateway_address = 127.0.0.1:8080
            peer_address = 127.0.0.1:9080
            [platform]
            address = 127.0.0.1:7000
            """;

    @Test
    void usesDefaultsForAllSettingsExceptNamesAndAddresses() {
        Settings settings = new SettingsReader().parse(MINIMAL).get();

        assertThat(settings.host().name()).isEqualTo("a1");
        assertThat(settings.failureDomain().name()).isEqualTo("a");
        assertThat(settings.host().gatewayAddress())
                .isEqualTo(new InetSocketAddress("127.0.0.1", 8080));
        assertThat(settings.host().randomSeed()).isEmpty();
        assertThat(settings.platform().requestTimeout()).isEqualTo(Duration.ofSeconds(2));
        assertThat(settings.peers().bootstrap()).isEmpty();
        assertThat(settings.admission().maxConfigurationAge()).isEmpty();
        assertThat(settings.placement().idleWeight()).isEqualTo(0.5);
        assertThat(settings.log())
                .isEqualTo(new LogSettings(LogFormat.PLAIN, System.Logger.Level.INFO));
    }

    @Test
    void readsOptionalValues() {
        Settings settings =
                new SettingsReader()
                        .parse(
                                MINIMAL
                                        + """
                                        [peers]
                                        bootstrap = a2=127.0.0.1:9081, b1=127.0.0.1:9082
                                        [admission]
                                        max_configuration_age_seconds = 60
                                        [log]
                                        format = JSON
                                        level = debug
                                        """)
                        .get();

        assertThat(settings.peers().bootstrap())
                .containsEntry("b1", new InetSocketAddress("127.0.0.1", 9082))
                .hasSize(2);
        assertThat(settings.admission().maxConfigurationAge()).contains(Duration.ofMinutes(1));
        assertThat(settings.log().format()).isEqualTo(LogFormat.JSON);
    }

    /** Guards against hosts that do not start because the limits of a deployment are fractional. */
    @Test
    void readsFractionalServingLimits() {
        ServingSettings serving =
                new SettingsReader()
                        .parse(
                                MINIMAL
                                        + """
                                        [serving]
                                        readiness_address = 127.0.0.1:9082
                                        order_turn_millis = 2500.5
                                        retry_extra = 39.090909090909086
                                        retry_window_seconds = 7.5
                                        rate_slack = 6181.818181
                                        """)
                        .get()
                        .serving()
                        .orElseThrow();

        assertThat(serving.orderTurn()).isEqualTo(Duration.ofNanos(2_500_500_000L));
        assertThat(serving.retryExtra()).isEqualTo(39.090909090909086);
        assertThat(serving.retryWindow()).isEqualTo(Duration.ofMillis(7500));
        assertThat(serving.rateSlack()).isEqualTo(6181.818181);
    }

    @Test
    void reportsEveryFaultAtOnce() {
        List<SettingsFault> faults =
                faults(
                        """
                        stray = 1
                        [host]
                        name = a1
                        failure_domain = Not A Name
                        gateway_address = localhost:8080
                        peer_adress = 127.0.0.1:9080
                        [platform]
                        address = 127.0.0.1:0
                        [placement]
                        idle_weight = 1.5
                        lease_seconds = 10
                        lease_seconds = 20
                        [cache]
                        """);

        assertThat(faults)
                .extracting(fault -> fault.section() + "/" + fault.key())
                .containsExactlyInAnyOrder(
                        "/stray",
                        "host/failure_domain",
                        "host/gateway_address",
                        "host/peer_adress",
                        "host/peer_address",
                        "platform/address",
                        "placement/idle_weight",
                        "placement/lease_seconds",
                        "cache/");
        assertThat(faults)
                .extracting(SettingsFault::toLine)
                .contains("[placement] idle_weight = '1.5': allowed is number from 0.0 to 1.0");
    }

    @Test
    void rejectsContradictoryLimits() {
        assertThat(
                        faults(
                                MINIMAL.replace(":9080", ":8080")
                                        + """
                                        [admission]
                                        max_waiting_requests = 10
                                        max_body_bytes = 2000
                                        max_waiting_bytes = 1000
                                        """))
                .extracting(SettingsFault::key)
                .containsExactlyInAnyOrder(
                        "max_waiting_requests_per_workspace", "max_body_bytes", "peer_address");
    }

    @Test
    void doesNotExpandPlaceholders() {
        assertThat(faults(MINIMAL.replace("name = a1", "name = ${env:HOME}")))
                .extracting(SettingsFault::value)
                .containsExactly("${env:HOME}");
    }

    @Test
    void reportsAnUnreadableFile() {
        assertThat(new SettingsReader().read(Path.of("no-such-file.ini")).getLeft())
                .containsExactly(
                        new SettingsFault("", "file", "no-such-file.ini", "a readable file"));
    }

    private static List<SettingsFault> faults(String text) {
        return new SettingsReader().parse(text).getLeft();
    }
}
