package cacheproxy.proxy.upstream;

import cacheproxy.flow.ByteBudget;
import cacheproxy.proxy.discovery.Addresses;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.proxy.protocol.ValueBuffer;
import cacheproxy.routing.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.SocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * HTTP/1.1 towards the origin. Event loop only.
 *
 * <pre>
 * response                                   outcome
 * 200                                        OK, with a value or a receipt
 * 503 or 504 with Srv-Declined: 1            REJECTED
 * any other status                           ERROR
 * header Srv-Load                            load report
 *
 * request header                             holds
 * Req-Id                                     the client's id of the request
 * Req-Extra                                  its parameters, with the remaining time
 * </pre>
 */
final class OriginCodec extends SimpleChannelInboundHandler<HttpObject> implements ServerCodec {
    private static final String ID_HEADER = "Req-Id";
    private static final String PARAMETERS_HEADER = "Req-Extra";
    private static final String LOAD_HEADER = "Srv-Load";
    private static final String REJECTED_HEADER = "Srv-Declined";
    private static final String HEALTH_CHECK_PATH = "/alive";
    private static final String LOAD_QUERY_PATH = "/metrics/load";
    private static final int LINE_END_BYTES = 2;
    private static final int NO_NOTE = 0;
    private static final long UNKNOWN_LENGTH = -1;

    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private final LoadReports loadReports;
    private HttpResponse response;
    /** The part of the body that has arrived; null if the body is streamed or discarded. */
    private ValueBuffer body;
    /**
     * Memory for a body that is held completely and exceeds {@link MetaCodec#MAX_WHOLE_VALUE_BYTES}; null for others.
     * All that the body may need is reserved at once: bodies that wait for each other's memory would deadlock.
     */
    private ByteBudget.Reservation reservation;

    private final BodyMemory bodyMemory;

    /** The longest length of the body. */
    private int maxLength;

    private boolean streamed;
    /** Whether further input is ignored, because the connection is being closed. */
    private boolean ignoringInput;

    private OriginCodec(UpstreamConnection connection) {
        this.connection = connection;
        this.context = connection.context();
        loadReports = new LoadReports(context);
        bodyMemory = new BodyMemory(connection);
        connection.setCodec(this);
    }

    /** The handlers of one connection's pipeline. */
    static List<ChannelHandler> handlers(UpstreamConnection connection) {
        return List.of(new HttpRequestEncoder(), new OriginResponseDecoder(connection), new OriginCodec(connection));
    }

    // ---- requests

    @Override
    public ChannelFuture write(Channel channel, UpstreamAttempt attempt, long remainingMs, SocketAddress address) {
        FullHttpRequest request = attempt.isHealthCheck() ? healthCheck() : encode(attempt.command(), remainingMs);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        return channel.writeAndFlush(request);
    }

    @Override
    public boolean responsesCarryRequestId() {
        return false;
    }

    private FullHttpRequest healthCheck() {
        String path = loadReports.inHealthChecks() ? LOAD_QUERY_PATH : HEALTH_CHECK_PATH;
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    }

    private static FullHttpRequest encode(RequestCommand command, long remainingMs) {
        String path = "/" + URLEncoder.encode(command.key, StandardCharsets.ISO_8859_1);
        ByteBuf value = !command.write
                ? Unpooled.EMPTY_BUFFER
                : command.value.retainedSlice(0, command.value.readableBytes() - LINE_END_BYTES);
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, command.write ? HttpMethod.PUT : HttpMethod.GET, path, value);
        request.headers().set(ID_HEADER, command.id).set(PARAMETERS_HEADER, command.originParameters.with(remainingMs));
        if (command.write) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, value.readableBytes());
        }
        return request;
    }

    // ---- responses

    @Override
    public void channelReadComplete(ChannelHandlerContext channelContext) {
        connection.setReading(false);
        channelContext.fireChannelReadComplete();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channelContext, HttpObject message) {
        connection.setReading(true);
        // After a local close, the decoder reports a body without a length as complete.
        if (ignoringInput || connection.closedLocally()) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("malformed HTTP response");
            return;
        }
        if (message instanceof HttpResponse head) {
            begin(channelContext, head);
        }
        if (response != null && message instanceof HttpContent content) {
            addContent(content);
            if (!ignoringInput && content instanceof LastHttpContent) {
                complete();
            }
        }
    }

    private void begin(ChannelHandlerContext channelContext, HttpResponse head) {
        if (head.status().code() < HttpResponseStatus.OK.code()) {
            response = null; // an interim response
            return;
        }
        response = head;
        long contentLength = HttpUtil.getContentLength(head, UNKNOWN_LENGTH);
        String error = findError(head, contentLength);
        if (error != null) {
            fail(error);
            return;
        }
        body = null;
        boolean streamable = isStreamable(head, contentLength);
        streamed = streamable && connection.beginValue((int) contentLength); // if false, nobody waits for it
        if (!streamable) {
            maxLength = contentLength < 0 ? maxUnknownLength() : (int) contentLength;
            beginBody(channelContext.alloc());
        }
    }

    private void beginBody(ByteBufAllocator allocator) {
        if (!bodyMemory.reserve(Math.min(maxLength, MetaCodec.MAX_WHOLE_VALUE_BYTES))) {
            fail("no budget for the response body");
            return;
        }
        body = new ValueBuffer(allocator, maxLength);
        connection.responseProgressed();
    }

    private int maxUnknownLength() {
        return (int) Math.min(MetaCodec.MAX_VALUE_BYTES, context.valueBudget().maxReservation());
    }

    /** Why a response can't be used; null if it can. */
    private static String findError(HttpResponse head, long contentLength) {
        if (hasMalformedHeader(head.headers())) {
            return "header line without a colon or value";
        }
        if (contentLength > MetaCodec.MAX_VALUE_BYTES) {
            return "response body too long";
        }
        boolean endUnknown =
                contentLength < 0 && !HttpUtil.isTransferEncodingChunked(head) && HttpUtil.isKeepAlive(head);
        return endUnknown ? "response on a persistent connection without a length" : null;
    }

    private boolean isStreamable(HttpResponse head, long contentLength) {
        UpstreamAttempt attempt = connection.currentAttempt();
        return isOk(head)
                && !attempt.isHealthCheck()
                && !attempt.command().write
                && contentLength > MetaCodec.MAX_WHOLE_VALUE_BYTES;
    }

    private static boolean isOk(HttpResponse head) {
        return head.status().code() == HttpResponseStatus.OK.code();
    }

    /**
     * Whether a header line is malformed: the decoder turns a line without a colon into a name without a value. Only
     * the load report may be empty in a response that is otherwise usable.
     */
    private static boolean hasMalformedHeader(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getValue().isEmpty() && !header.getKey().equalsIgnoreCase(LOAD_HEADER)) {
                return true;
            }
        }
        return false;
    }

    private void addContent(HttpContent content) {
        ByteBuf part = content.content();
        if (streamed) {
            if (part.isReadable()) {
                connection.writePart(part.retain());
            }
        } else if (body != null) {
            int length = body.length() + part.readableBytes();
            if (length > maxLength) {
                fail("response body too long");
            } else if (length > MetaCodec.MAX_WHOLE_VALUE_BYTES
                    && connection.currentAttempt().hasEnded()) {
                discardBody(); // nobody waits for it
            } else if (length > MetaCodec.MAX_WHOLE_VALUE_BYTES && !reserve()) {
                fail("no budget for the response body");
            } else {
                body.add(part, part.readableBytes());
                connection.responseProgressed();
            }
        }
    }

    /** Reserves memory for the body and pauses reading while there is none; false if there never will be. */
    private boolean reserve() {
        if (reservation == null) {
            reservation = context.valueBudget().reserve(maxLength, this::reservationGranted);
            if (reservation != null && reservation.granted()) {
                body.setReservation(reservation);
            } else if (reservation != null) {
                connection.setPaused(true);
            }
        }
        return reservation != null;
    }

    private void reservationGranted() {
        body.setReservation(reservation);
        context.loop().execute(() -> connection.setPaused(false));
    }

    private void complete() {
        HttpResponse head = response;
        ServerResponse result = isOk(head) ? toResponse(connection.currentAttempt()) : null;
        response = null;
        discardBody();
        if (!HttpUtil.isKeepAlive(head)
                || (!HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head))) {
            connection.retire();
        }
        UpstreamAttempt attempt = connection.currentAttempt();
        float[] report = loadReports.parse(head.headers().get(LOAD_HEADER));
        if (attempt.isHealthCheck()) {
            connection.responseCompleted(isOk(head) ? AttemptOutcome.OK : AttemptOutcome.ERROR, NO_NOTE, report, null);
        } else if (isOk(head)) {
            connection.responseCompleted(AttemptOutcome.OK, NO_NOTE, report, result);
        } else {
            connection.responseCompleted(
                    isRejection(head) ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR, NO_NOTE, report, null);
        }
    }

    private static boolean isRejection(HttpResponse head) {
        int code = head.status().code();
        return (code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                        || code == HttpResponseStatus.GATEWAY_TIMEOUT.code())
                && "1".equals(head.headers().get(REJECTED_HEADER));
    }

    /** The response to an attempt; null for a health check, whose body is released with the others. */
    private ServerResponse toResponse(UpstreamAttempt attempt) {
        if (attempt.isHealthCheck()) {
            return null;
        }
        if (body == null) {
            return ServerResponse.EndOfValue.INSTANCE;
        }
        if (attempt.command().write) {
            ByteBuf whole = body.assemble();
            String receipt = whole.toString(StandardCharsets.ISO_8859_1).trim();
            whole.release();
            return new ServerResponse.Receipt(receipt);
        }
        return toValue();
    }

    private ServerResponse toValue() {
        if (body.length() <= MetaCodec.MAX_WHOLE_VALUE_BYTES) {
            return new ServerResponse.Value(body.assemble());
        }
        if (!reservation.granted()) {
            reservation.release(); // the rest had been read already
        }
        ServerResponse value = new ServerResponse.LongValue(body.length(), body.takeParts());
        reservation = null; // the parts own what was granted
        return value;
    }

    /** Releases the body and its budget; the client side owns what was streamed. */
    @Override
    public void discardBody() {
        bodyMemory.release();
        if (body != null) {
            body.release();
            body = null;
        }
        if (reservation != null) {
            reservation.release();
            reservation = null;
        }
    }

    private void fail(String reason) {
        ignoringInput = true;
        discardBody();
        connection.protocolError(reason);
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        ignoringInput = true;
        discardBody();
        connection.channelClosed();
    }

    /**
     * Discards the body: one that ends with the connection is complete only if the connection was closed in order (RFC
     * 9112, section 6.3).
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        context.connectionFailed(cause);
        ignoringInput = true;
        discardBody();
        channelContext.close();
    }
}
