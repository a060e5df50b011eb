package org.vanillaslip.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;

/** Forwards the events and messages of a connection to the decision loop. */
final class PeerLinkHandler extends SimpleChannelInboundHandler<Envelope> {

    private final PeerLink mLink;
    private final NettyPeerLinks mLinks;
    private final DecisionLoop mLoop;

    PeerLinkHandler(PeerLink link, NettyPeerLinks links, DecisionLoop loop) {
        mLink = link;
        mLinks = links;
        mLoop = loop;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mLoop.scheduler().schedule(() -> mLinks.onOpened(mLink));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mLoop.scheduler().schedule(() -> mLinks.onClosed(mLink));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        mLoop.scheduler().schedule(() -> mLinks.onMessage(mLink, message));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            mLinks.reportUnreadable(mLink, cause.toString());
        }
        context.close();
    }
}
