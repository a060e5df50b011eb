package org.vanillaslip.internal.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import reactor.netty.NettyPipeline;

/**
 * Fails a response without a length that ends with its connection, unless the request was written
 * to its end and nothing on the connection failed. The codec ends such a response in an orderly way
 * whenever the channel closes, also if a failed write of the request closed it.
 */
public final class ResponseEndCheck extends ChannelDuplexHandler {

    private static final String HANDLER_NAME = "response-end-check";

    private @Nullable Throwable mFailure;
    private boolean mRequestWritten;
    private boolean mHeadRequest;
    private boolean mEndsWithConnection;

    private ResponseEndCheck() {}

    /** Adds the check behind the HTTP codec of a new connection, which serves one request. */
    public static void add(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        if (pipeline.get(HANDLER_NAME) == null) {
            pipeline.addAfter(NettyPipeline.HttpCodec, HANDLER_NAME, new ResponseEndCheck());
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpRequest request) {
            mHeadRequest = request.method().equals(HttpMethod.HEAD);
        }
        boolean last = message instanceof LastHttpContent;
        ChannelPromise observed = promise.unvoid();
        observed.addListener(
                written -> {
                    if (!written.isSuccess()) {
                        mFailure = written.cause();
                    } else if (last) {
                        mRequestWritten = true;
                    }
                });
        context.write(message, observed);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            mEndsWithConnection = endsWithConnection(response);
        }
        if (message instanceof LastHttpContent && mEndsWithConnection && !isOrderlyEnd()) {
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(
                    new IOException(
                            mFailure == null
                                    ? "the response ended before the request was written"
                                    : "the connection failed within the response: " + mFailure,
                            mFailure));
            return;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mFailure = cause;
        context.fireExceptionCaught(cause);
    }

    private boolean isOrderlyEnd() {
        return mRequestWritten && mFailure == null;
    }

    private boolean endsWithConnection(HttpResponse response) {
        HttpResponseStatus status = response.status();
        boolean withoutBody =
                mHeadRequest
                        || status.codeClass() == HttpStatusClass.INFORMATIONAL
                        || status.code() == HttpResponseStatus.NO_CONTENT.code()
                        || status.code() == HttpResponseStatus.NOT_MODIFIED.code();
        return !withoutBody
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response);
    }
}
