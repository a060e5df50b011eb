package org.vanillaslip.internal.peer;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Optional;

/** A connection to another host. Only used on the decision loop. */
final class PeerLink {

    private final Channel mChannel;
    private final Optional<InetSocketAddress> mOutboundAddress;
    private Optional<String> mPeer = Optional.empty();
    private long mLastMessageNanos;

    PeerLink(Channel channel, Optional<InetSocketAddress> outboundAddress, long nowNanos) {
        mChannel = channel;
        mOutboundAddress = outboundAddress;
        mLastMessageNanos = nowNanos;
    }

    Channel channel() {
        return mChannel;
    }

    /** Returns the address that this host connected to, or empty if the peer opened the link. */
    Optional<InetSocketAddress> outboundAddress() {
        return mOutboundAddress;
    }

    /** Returns the name of the peer, or empty before its first message. */
    Optional<String> peer() {
        return mPeer;
    }

    /** Returns the name of the peer, or its address before its first message. */
    String name() {
        return mPeer.orElseGet(() -> String.valueOf(mChannel.remoteAddress()));
    }

    void setPeer(String peer) {
        mPeer = Optional.of(peer);
    }

    void recordMessage(long nowNanos) {
        mLastMessageNanos = nowNanos;
    }

    long silentNanos(long nowNanos) {
        return nowNanos - mLastMessageNanos;
    }
}
