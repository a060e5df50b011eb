package org.vanillaslip.internal.peer;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Optional;

/** One connection to another host; used on the decision loop only. */
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

    /** Returns the address that this host connected to, or empty when the peer connected. */
    Optional<InetSocketAddress> outboundAddress() {
        return mOutboundAddress;
    }

    /** Returns the name of the peer once its first message has arrived. */
    Optional<String> peer() {
        return mPeer;
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
