package org.vanillaslip.internal.peer;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Optional;

/** One connection to another host; used on the decision loop only. */
final class PeerLink {

    private final Channel mChannel;
    private final Optional<InetSocketAddress> mDialled;
    private Optional<String> mPeer = Optional.empty();
    private long mHeardAt;

    PeerLink(Channel channel, Optional<InetSocketAddress> dialled, long nowNanos) {
        mChannel = channel;
        mDialled = dialled;
        mHeardAt = nowNanos;
    }

    Channel channel() {
        return mChannel;
    }

    /** Returns the address that this host connected to, or empty when the peer connected. */
    Optional<InetSocketAddress> dialled() {
        return mDialled;
    }

    /** Returns the name of the peer once its first message has arrived. */
    Optional<String> peer() {
        return mPeer;
    }

    void identify(String peer) {
        mPeer = Optional.of(peer);
    }

    void heard(long nowNanos) {
        mHeardAt = nowNanos;
    }

    long silence(long nowNanos) {
        return nowNanos - mHeardAt;
    }
}
