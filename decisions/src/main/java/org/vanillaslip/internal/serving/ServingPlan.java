package org.vanillaslip.internal.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.vanillaslip.internal.admission.KeyDigest;

/** Routes, pools and workspaces of one configuration version. */
public final class ServingPlan {

    private final long mVersion;
    private final List<ServedRoute> mRoutes;
    private final RouteTable mTable;
    private final Map<String, ServicePool> mPools;
    private final List<WorkspacePolicy> mWorkspaces;
    private final Map<String, WorkspacePolicy> mByKeyDigest;
    private final CallerLimits mLimits;
    private final List<String> mIgnored;
    private final boolean mHasSeveralPriorities;

    /**
     * Creates a plan from the parts of a configuration.
     *
     * @param byKeyDigest policies by the digest of each API key of the workspace
     */
    public ServingPlan(
            long version,
            List<ServedRoute> routes,
            Map<String, ServicePool> pools,
            List<WorkspacePolicy> workspaces,
            Map<String, WorkspacePolicy> byKeyDigest,
            CallerLimits limits) {
        this(version, routes, pools, workspaces, byKeyDigest, limits, List.of());
    }

    /**
     * Creates a plan from the parts of a configuration, some of which are left out.
     *
     * @param byKeyDigest policies by the digest of each API key of the workspace
     * @param ignored what the configuration names and is not in force, with the reason
     */
    public ServingPlan(
            long version,
            List<ServedRoute> routes,
            Map<String, ServicePool> pools,
            List<WorkspacePolicy> workspaces,
            Map<String, WorkspacePolicy> byKeyDigest,
            CallerLimits limits,
            List<String> ignored) {
        mVersion = version;
        mRoutes = List.copyOf(routes);
        mTable = new RouteTable(routes);
        mPools = Map.copyOf(pools);
        mWorkspaces = List.copyOf(workspaces);
        mByKeyDigest = Map.copyOf(byKeyDigest);
        mLimits = limits;
        mIgnored = List.copyOf(ignored);
        mHasSeveralPriorities =
                IntStream.concat(
                                        mRoutes.stream().mapToInt(ServedRoute::priority),
                                        mWorkspaces.stream()
                                                .flatMapToInt(
                                                        workspace -> workspace.priority().stream()))
                                .distinct()
                                .count()
                        > 1;
    }

    /** Returns the configuration version. */
    public long version() {
        return mVersion;
    }

    /** Returns all routes. */
    public List<ServedRoute> routes() {
        return mRoutes;
    }

    /** Returns the route for a host and a path. */
    public Optional<ServedRoute> route(String host, String path) {
        return mTable.find(host, path);
    }

    /** Returns all pools by name. */
    public Map<String, ServicePool> pools() {
        return mPools;
    }

    /** Returns the policies of all workspaces. */
    public List<WorkspacePolicy> workspaces() {
        return mWorkspaces;
    }

    /** Returns the policy of the workspace that owns the API key. */
    public Optional<WorkspacePolicy> policyForKey(String key) {
        return Optional.ofNullable(mByKeyDigest.get(KeyDigest.of(key)));
    }

    /** Returns whether routes and workspaces have different priorities. */
    public boolean hasSeveralPriorities() {
        return mHasSeveralPriorities;
    }

    /** Returns the limits of requests and caller connections. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns what the configuration names and is not in force, with the reason. */
    public List<String> ignored() {
        return mIgnored;
    }
}
