package org.vanillaslip.internal.settings;

import static org.vanillaslip.internal.settings.Setting.optional;
import static org.vanillaslip.internal.settings.Setting.required;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** All keys of the settings file; {@code docs/SETTINGS.md} is generated from them. */
final class SettingsCatalogue {
    static final Setting<String> NAME =
            required(
                    "host",
                    "name",
                    SettingTypes.name(),
                    "Name of this host, as in the platform's host list.");
    static final Setting<String> FAILURE_DOMAIN =
            required(
                    "host",
                    "failure_domain",
                    SettingTypes.name(),
                    "Failure domain in which this host runs.");
    static final Setting<InetSocketAddress> GATEWAY_ADDRESS =
            required(
                    "host",
                    "gateway_address",
                    SettingTypes.listenAddress(),
                    "Address on which callers are served.");
    static final Setting<InetSocketAddress> PEER_ADDRESS =
            required(
                    "host",
                    "peer_address",
                    SettingTypes.listenAddress(),
                    "Address on which other hosts connect.");
    static final Setting<Duration> SHUTDOWN_DELAY =
            optional(
                            "host",
                            "shutdown_delay_seconds",
                            SettingTypes.duration(0, 600, Duration::ofSeconds),
                            "Time between turning unready and refusing new requests.")
                    .orDefault("5");
    static final Setting<Duration> SHUTDOWN_TIMEOUT =
            optional(
                            "host",
                            "shutdown_timeout_seconds",
                            SettingTypes.duration(1, 3600, Duration::ofSeconds),
                            "Longest time of a planned stop after the delay.")
                    .orDefault("30");
    static final Setting<Double> LINK_MEGABITS =
            optional(
                            "host",
                            "link_megabits",
                            SettingTypes.decimal(0, 1e6),
                            "Bandwidth of the host's network link in Mbit/s; hosts with larger ones"
                                    + " become relays first. 0 if unknown.")
                    .orDefault("0");
    static final Setting<Long> RANDOM_SEED =
            optional(
                    "host",
                    "random_seed",
                    SettingTypes.longInteger(Long.MIN_VALUE, Long.MAX_VALUE),
                    "Seed of all random choices; a new one at each start when missing.");
    static final Setting<InetSocketAddress> PLATFORM_ADDRESS =
            required(
                    "platform",
                    "address",
                    SettingTypes.remoteAddress(),
                    "Address of the platform's object API.");
    static final Setting<Integer> CALLS_PER_SECOND =
            optional(
                            "platform",
                            "calls_per_second",
                            SettingTypes.integer(1, 1000),
                            "Budget of platform calls of this host.")
                    .orDefault("20");
    static final Setting<Duration> REQUEST_TIMEOUT =
            optional(
                            "platform",
                            "request_timeout_millis",
                            SettingTypes.duration(10, 60_000, Duration::ofMillis),
                            "Longest time of one platform call; a watch is bounded separately.")
                    .orDefault("2000");
    static final Setting<Map<String, InetSocketAddress>> BOOTSTRAP =
            optional(
                            "peers",
                            "bootstrap",
                            SettingTypes.namedAddresses(),
                            "Hosts to connect to before the platform's host list was read.")
                    .orDefault("");
    static final Setting<Integer> MAX_BODY_BYTES =
            optional(
                            "admission",
                            "max_body_bytes",
                            SettingTypes.integer(1, 1 << 28),
                            "Largest request body.")
                    .orDefault("1048576");
    static final Setting<Integer> MAX_WAITING_REQUESTS =
            optional(
                            "admission",
                            "max_waiting_requests",
                            SettingTypes.integer(1, 1_000_000),
                            "Most waiting requests on this host.")
                    .orDefault("10000");
    static final Setting<Integer> MAX_WAITING_REQUESTS_PER_WORKSPACE =
            optional(
                            "admission",
                            "max_waiting_requests_per_workspace",
                            SettingTypes.integer(1, 1_000_000),
                            "Most waiting requests of one workspace on this host;"
                                    + " at most max_waiting_requests.")
                    .orDefault("2000");
    static final Setting<Long> MAX_WAITING_BYTES =
            optional(
                            "admission",
                            "max_waiting_bytes",
                            SettingTypes.longInteger(1, 1L << 36),
                            "Most bytes of waiting request bodies; at least max_body_bytes.")
                    .orDefault("67108864");
    static final Setting<Long> MAX_CONFIGURATION_AGE =
            optional(
                            "admission",
                            "max_configuration_age_seconds",
                            SettingTypes.longInteger(0, 31_536_000),
                            "Age of the configuration from which keyed requests are refused;"
                                    + " 0 means never.")
                    .orDefault("0");
    static final Setting<WaitingOrder> WAITING_ORDER =
            optional(
                            "admission",
                            "waiting_order",
                            SettingTypes.choice(SettingTypes.byName(WaitingOrder.values())),
                            "Order in which waiting pass-through calls get servers: by age for each"
                                    + " model, or by rank over all models of a pool.")
                    .orDefault("age");
    static final Setting<ServerSpeed> SERVER_SPEED =
            optional(
                            "routing",
                            "server_speed",
                            SettingTypes.choice(SettingTypes.byName(ServerSpeed.values())),
                            "Speeds by which calls are distributed over the servers of a pool:"
                                    + " equal, or as measured from the gaps between events.")
                    .orDefault("equal");
    static final Setting<Double> IDLE_WEIGHT =
            optional(
                            "placement",
                            "idle_weight",
                            SettingTypes.decimal(0, 1),
                            "Weight of idle accelerator time against cold starts.")
                    .orDefault("0.5");
    static final Setting<Double> WEIGHT_STORE_LOADS_PER_SECOND =
            optional(
                            "placement",
                            "weight_store_loads_per_second",
                            SettingTypes.decimal(0.1, 1000),
                            "Load starts that the weight store serves per second.")
                    .orDefault("3");
    static final Setting<Integer> WEIGHT_STORE_PARALLEL_LOADS =
            optional(
                            "placement",
                            "weight_store_parallel_loads",
                            SettingTypes.integer(1, 1000),
                            "Most loads from the weight store at once; pass-through hosts begin"
                                    + " fewer when loads slow each other down.")
                    .orDefault("4");
    static final Setting<Integer> ADAPTER_LOADS_IN_FLIGHT =
            optional(
                            "placement",
                            "adapter_loads_in_flight",
                            SettingTypes.integer(1, 10_000),
                            "Adapter loads in flight over all hosts at full speed.")
                    .orDefault("32");
    static final Setting<Duration> LEASE =
            optional(
                            "placement",
                            "lease_seconds",
                            SettingTypes.duration(1, 300, Duration::ofSeconds),
                            "Validity of a control shard's lease; the same on all hosts.")
                    .orDefault("10");
    static final Setting<InetSocketAddress> READINESS_ADDRESS =
            optional(
                    "serving",
                    "readiness_address",
                    SettingTypes.listenAddress(),
                    "Address on which the load balancer asks for readiness;"
                            + " the section is only read when it is set.");
    static final Setting<InetSocketAddress> METRICS_ADDRESS =
            optional(
                            "serving",
                            "metrics_address",
                            SettingTypes.listenAddress(),
                            "Address on which metrics are read.")
                    .orDefault("127.0.0.1:0");
    static final Setting<Duration> ORDER_TURN =
            optional(
                            "serving",
                            "order_turn_millis",
                            SettingTypes.fractionalDuration(0, 60_000, Duration.ofMillis(1)),
                            "Time between the last order of one host and the first of another.")
                    .orDefault("3000");
    static final Setting<Double> RETRY_RATIO =
            optional(
                            "serving",
                            "retry_ratio",
                            SettingTypes.decimal(0, 10),
                            "Part of the requests of a pool that all hosts may send again.")
                    .orDefault("0.1");
    static final Setting<Double> RETRY_EXTRA =
            optional(
                            "serving",
                            "retry_extra",
                            SettingTypes.decimal(0, 1e6),
                            "Retries of a pool by all hosts beyond that part, in each window.")
                    .orDefault("10");
    static final Setting<Duration> RETRY_WINDOW =
            optional(
                            "serving",
                            "retry_window_seconds",
                            SettingTypes.fractionalDuration(1, 600, Duration.ofSeconds(1)),
                            "Window of the retry budget.")
                    .orDefault("10");
    static final Setting<Double> RATE_SLACK =
            optional(
                            "serving",
                            "rate_slack",
                            SettingTypes.decimal(0, 1e9),
                            "Units by which a workspace may exceed its rate and burst in a window,"
                                    + " because hosts learn of each other's use with a lag.")
                    .orDefault("0");
    static final Setting<InetSocketAddress> DUTY_ADDRESS =
            optional(
                    "duties",
                    "address",
                    SettingTypes.remoteAddress(),
                    "Address of the platform's API for calls that one host makes for all;"
                            + " the section is only read when it is set.");
    static final Setting<String> DUTIES =
            optional(
                            "duties",
                            "duties",
                            SettingTypes.text(),
                            "Duties of the hosts, separated by commas: usage_report, autoscale."
                                    + " Others are logged and left out.")
                    .orDefault("");
    static final Setting<Double> DUTY_CALLS_PER_SECOND =
            optional(
                            "duties",
                            "calls_per_second",
                            SettingTypes.decimal(0, 1e6),
                            "Calls that the API accepts from all hosts together.")
                    .orDefault("10");
    static final Setting<Double> USAGE_WINDOW_SECONDS =
            optional(
                            "duties",
                            "usage_window_seconds",
                            SettingTypes.decimal(-1e9, 1e9),
                            "Length of the windows of usage reports; without a positive one, none"
                                    + " are sent.")
                    .orDefault("0");
    static final Setting<Double> USAGE_TOLERANCE =
            optional(
                            "duties",
                            "usage_tolerance",
                            SettingTypes.decimal(0, 1),
                            "Allowed relative error of a reported count.")
                    .orDefault("0.05");
    static final Setting<Duration> USAGE_DUE =
            optional(
                            "duties",
                            "usage_due_seconds",
                            SettingTypes.fractionalDuration(0, 86_400, Duration.ofSeconds(1)),
                            "Time after the end of a window at which its report is due.")
                    .orDefault("10");
    static final Setting<LogFormat> LOG_FORMAT =
            optional(
                            "log",
                            "format",
                            SettingTypes.choice(SettingTypes.byName(LogFormat.values())),
                            "How log lines are written.")
                    .orDefault("plain");
    static final Setting<System.Logger.Level> LOG_LEVEL =
            optional(
                            "log",
                            "level",
                            SettingTypes.choice(
                                    SettingTypes.byName(
                                            System.Logger.Level.TRACE,
                                            System.Logger.Level.DEBUG,
                                            System.Logger.Level.INFO,
                                            System.Logger.Level.WARNING,
                                            System.Logger.Level.ERROR)),
                            "Least severe level that is written.")
                    .orDefault("info");

    static final List<Setting<?>> ALL =
            List.of(
                    NAME,
                    FAILURE_DOMAIN,
                    GATEWAY_ADDRESS,
                    PEER_ADDRESS,
                    SHUTDOWN_DELAY,
                    SHUTDOWN_TIMEOUT,
                    LINK_MEGABITS,
                    RANDOM_SEED,
                    PLATFORM_ADDRESS,
                    CALLS_PER_SECOND,
                    REQUEST_TIMEOUT,
                    BOOTSTRAP,
                    MAX_BODY_BYTES,
                    MAX_WAITING_REQUESTS,
                    MAX_WAITING_REQUESTS_PER_WORKSPACE,
                    MAX_WAITING_BYTES,
                    MAX_CONFIGURATION_AGE,
                    WAITING_ORDER,
                    SERVER_SPEED,
                    IDLE_WEIGHT,
                    WEIGHT_STORE_LOADS_PER_SECOND,
                    WEIGHT_STORE_PARALLEL_LOADS,
                    ADAPTER_LOADS_IN_FLIGHT,
                    LEASE,
                    READINESS_ADDRESS,
                    METRICS_ADDRESS,
                    ORDER_TURN,
                    RETRY_RATIO,
                    RETRY_EXTRA,
                    RETRY_WINDOW,
                    RATE_SLACK,
                    DUTY_ADDRESS,
                    DUTIES,
                    DUTY_CALLS_PER_SECOND,
                    USAGE_WINDOW_SECONDS,
                    USAGE_TOLERANCE,
                    USAGE_DUE,
                    LOG_FORMAT,
                    LOG_LEVEL);

    private SettingsCatalogue() {}
}
