package org.vanillaslip.internal.peer;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.MonotonicClock;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.membership.RankedHosts;
import org.vanillaslip.internal.membership.RelayRoles;
import org.vanillaslip.internal.membership.RendezvousRanking;
import org.vanillaslip.messages.Membership;

/**
 * The relays and linked hosts known to this host. A host only keeps links to the relays of its own
 * failure domain; a relay also keeps links to the relays of other failure domains. The number of
 * links and messages per host therefore does not grow with the number of hosts. The state is not
 * stored, and is only used on the decision loop.
 */
public final class RelayNetwork implements LinkPolicy {

    /** Time without a link after which a host is unreachable; covers two connection attempts. */
    private static final long UNREACHABLE_AFTER_NANOS = Duration.ofMillis(2500).toNanos();

    /** Time without a link after which the relay with the larger name connects as well. */
    private static final long CONNECT_FROM_BOTH_SIDES_AFTER_NANOS =
            Duration.ofMillis(1500).toNanos();

    /** Time for which a link is kept after it was last needed. */
    private static final long LINK_RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

    /** Silence after which another relay is preferred; a relay sends at least twice a second. */
    private static final long RELAY_SILENCE_NANOS = Duration.ofMillis(1200).toNanos();

    private final Host mSelf;
    private final Supplier<List<Host>> mHosts;
    private final MonotonicClock mClock;
    private final EventLog mLog;
    private final RendezvousRanking mRanking = new RendezvousRanking();
    private final Map<String, Long> mUnlinkedSinceNanos = new HashMap<>();
    private final Map<String, Long> mLastNeededNanos = new HashMap<>();
    private final Map<String, Long> mLastMessageNanos = new HashMap<>();
    private final Map<String, Membership> mMemberships = new HashMap<>();
    private Set<String> mLinkedHosts = Set.of();
    private List<Host> mHostList = List.of();
    private RankedHosts mRankedHosts;
    private RelayRoles mRoles;

    /**
     * Creates a network without links or other hosts.
     *
     * @param hosts the platform's host list as last read
     */
    public RelayNetwork(Host self, Supplier<List<Host>> hosts, MonotonicClock clock, EventLog log) {
        mSelf = self;
        mHosts = hosts;
        mClock = clock;
        mLog = log;
        mRankedHosts = RankedHosts.of(self, mHostList, mRanking);
        mRoles = RelayRoles.of(self, mRankedHosts, host -> false);
    }

    /** Recomputes the roles from the host list and the hosts that are linked now. */
    public void refresh(Set<String> linked) {
        long now = mClock.nowNanos();
        mLinkedHosts = Set.copyOf(linked);
        mMemberships.keySet().retainAll(mLinkedHosts);
        mLastMessageNanos.keySet().retainAll(mLinkedHosts);
        mUnlinkedSinceNanos.keySet().removeAll(mLinkedHosts);
        RelayRoles roles = RelayRoles.of(mSelf, rankedHosts(), host -> isUnreachable(host, now));
        mUnlinkedSinceNanos.keySet().retainAll(roles.connectionTargets());
        for (String host : roles.connectionTargets()) {
            mLastNeededNanos.put(host, now);
            if (!mLinkedHosts.contains(host)) {
                mUnlinkedSinceNanos.putIfAbsent(host, now);
            }
        }
        mLastNeededNanos
                .values()
                .removeIf(lastNeededNanos -> now - lastNeededNanos > LINK_RETENTION_NANOS);
        logRoleChange(roles);
        mRoles = roles;
    }

    private RankedHosts rankedHosts() {
        List<Host> hostList = mHosts.get();
        if (!hostList.equals(mHostList)) {
            mHostList = List.copyOf(hostList);
            mRankedHosts = RankedHosts.of(mSelf, mHostList, mRanking);
        }
        return mRankedHosts;
    }

    private void logRoleChange(RelayRoles roles) {
        boolean changed =
                roles.isRelay() != mRoles.isRelay()
                        || !roles.ownRelays().equals(mRoles.ownRelays())
                        || (roles.isRelay() && !roles.farRelays().equals(mRoles.farRelays()));
        if (changed) {
            mLog.log(
                    PeerEvent.ROLE_CHANGED,
                    field("relay", roles.isRelay()),
                    field("own_relays", roles.ownRelays()),
                    field("far_relays", roles.isRelay() ? roles.farRelays().size() : 0),
                    field("linked", mLinkedHosts.size()));
        }
    }

    /** Returns whether the host list has been read. */
    public boolean knowsHosts() {
        return !mHostList.isEmpty();
    }

    /** Returns whether the host was linked at the last refresh. */
    boolean isLinked(String host) {
        return mLinkedHosts.contains(host);
    }

    /** Returns whether this host is a relay. */
    public boolean isRelay() {
        return mRoles.isRelay();
    }

    /** Returns the linked relays of this host's failure domain, without this host. */
    public List<String> ownRelays() {
        return linked(mRoles.ownRelays());
    }

    /** Returns the linked relays of other failure domains; empty unless this host is a relay. */
    public List<String> farRelays() {
        return isRelay() ? linked(mRoles.farRelays()) : List.of();
    }

    /** Returns the linked hosts of this relay's failure domain that are not relays. */
    public List<String> members() {
        return isRelay()
                ? mLinkedHosts.stream()
                        .filter(host -> isInOwnDomain(host) && !mRoles.ownRelays().contains(host))
                        .sorted()
                        .toList()
                : List.of();
    }

    /** Returns the members to which this relay forwards broadcasts. */
    public List<String> membersPreferringThisRelay() {
        return members().stream()
                .filter(host -> membership(host).map(Membership::getPreferred).orElse(false))
                .toList();
    }

    /** Returns the linked relays of the failure domain. */
    public List<String> relaysOf(FailureDomain domain) {
        return linked(mRoles.relaysOf(domain));
    }

    /** Returns the relay that this host sends through; empty if it is a relay or has none. */
    public Optional<String> preferredRelay() {
        if (isRelay()) {
            return Optional.empty();
        }
        List<String> relays = ownRelays();
        long now = mClock.nowNanos();
        return relays.stream()
                .filter(
                        host ->
                                now - mLastMessageNanos.getOrDefault(host, now)
                                        <= RELAY_SILENCE_NANOS)
                .findFirst()
                .or(() -> relays.stream().findFirst());
    }

    /**
     * Returns the first relay of this host's failure domain if this host is another relay of it.
     */
    public Optional<String> firstRelayBeforeThis() {
        return isRelay()
                ? mRoles.relaysOf(mSelf.failureDomain()).stream()
                        .findFirst()
                        .filter(host -> !host.equals(mSelf.name()))
                : Optional.empty();
    }

    /** Returns the failure domain of a host, from the host list or else from its membership. */
    public Optional<FailureDomain> domainOf(String host) {
        return mRoles.domainOf(host)
                .or(
                        () ->
                                membership(host)
                                        .map(Membership::getFailureDomain)
                                        .map(FailureDomain::new));
    }

    /** Returns whether the host is in the failure domain of this host. */
    public boolean isInOwnDomain(String host) {
        return domainOf(host).equals(Optional.of(mSelf.failureDomain()));
    }

    /** Returns whether this is the failure domain of this host. */
    public boolean isOwnDomain(FailureDomain domain) {
        return domain.equals(mSelf.failureDomain());
    }

    /** Returns the other listed hosts in the failure domain of this host. */
    public List<String> otherHostsInOwnDomain() {
        return mHosts.get().stream()
                .filter(host -> isOwnDomain(host.failureDomain()))
                .map(Host::name)
                .filter(name -> !name.equals(mSelf.name()))
                .toList();
    }

    /** Returns the number of listed hosts in each failure domain, including this host. */
    public Map<FailureDomain, Long> hostCountByDomain() {
        return mRoles.hostCountByDomain();
    }

    /** Returns the name of this host. */
    public String hostName() {
        return mSelf.name();
    }

    /**
     * Returns the part of the listed hosts that this host reaches, itself included; 0 before the
     * list has been read. The parts of hosts that do not reach each other add up to 1 at most.
     */
    public double reachedPart() {
        Set<String> listed = mHosts.get().stream().map(Host::name).collect(Collectors.toSet());
        if (listed.isEmpty()) {
            return 0;
        }
        listed.add(mSelf.name());
        Set<String> reached = liveHosts();
        reached.add(mSelf.name());
        reached.retainAll(listed);
        return (double) reached.size() / listed.size();
    }

    /** Returns the linked relays and this host. */
    public Collection<String> liveRelays() {
        Set<String> live = new HashSet<>(ownRelays());
        live.addAll(farRelays());
        live.add(mSelf.name());
        return live;
    }

    /** Returns the other hosts that are linked to this host or to a relay linked to it. */
    public Set<String> liveHosts() {
        Set<String> live = new HashSet<>(mLinkedHosts);
        mMemberships.values().forEach(membership -> live.addAll(membership.getLiveHostsList()));
        live.remove(mSelf.name());
        return live;
    }

    /** Records the time of a message from a linked host. */
    void recordMessageFrom(String host) {
        mLastMessageNanos.put(host, mClock.nowNanos());
    }

    /** Stores the membership message of a linked host. */
    void updateMembership(String host, Membership membership) {
        mMemberships.put(host, membership);
    }

    /** Returns the membership message of this host for a linked host. */
    Membership membershipFor(String host) {
        Membership.Builder membership =
                Membership.newBuilder()
                        .setFailureDomain(mSelf.failureDomain().name())
                        .setRelay(isRelay())
                        .setPreferred(preferredRelay().equals(Optional.of(host)));
        if (isRelay() && (mRoles.farRelays().contains(host) || mRoles.ownRelays().contains(host))) {
            mLinkedHosts.stream()
                    .filter(this::isInOwnDomain)
                    .sorted()
                    .forEach(membership::addLiveHosts);
        }
        return membership.build();
    }

    @Override
    public boolean shouldOpen(Host host) {
        String name = host.name();
        if (!mRoles.connectionTargets().contains(name)) {
            return false;
        }
        long unlinkedNanos =
                mClock.nowNanos() - mUnlinkedSinceNanos.getOrDefault(name, mClock.nowNanos());
        return !isRelay()
                || mSelf.name().compareTo(name) < 0
                || unlinkedNanos >= CONNECT_FROM_BOTH_SIDES_AFTER_NANOS;
    }

    @Override
    public boolean shouldKeep(String host) {
        return mLastNeededNanos.containsKey(host);
    }

    private boolean isUnreachable(String host, long nowNanos) {
        Long since = mUnlinkedSinceNanos.get(host);
        return since != null && nowNanos - since >= UNREACHABLE_AFTER_NANOS;
    }

    private List<String> linked(List<String> hosts) {
        return hosts.stream().filter(mLinkedHosts::contains).toList();
    }

    private Optional<Membership> membership(String host) {
        return Optional.ofNullable(mMemberships.get(host));
    }
}
