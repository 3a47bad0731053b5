package io.magnoliaroute.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the status of a response before the HTTP decoder does, which reports nothing of a response
 * that ends inside its head. Skips interim responses. Confined to one event loop.
 */
final class ResponseStart extends ChannelInboundHandlerAdapter {

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/\\d\\.\\d[ \\t]{1,8}(\\d)", Pattern.CASE_INSENSITIVE);

  private final StringBuilder line = new StringBuilder();
  private State state = State.EMPTY;
  private boolean lineEmpty;

  /** What the received bytes are the beginning of. */
  private enum State {
    EMPTY(false, false),
    STATUS_LINE_BEGUN(true, false),
    INTERIM_HEAD(false, false),
    SUCCESS(false, true),
    FAILURE(true, true),
    NO_RESPONSE(false, true);

    private final boolean mayBeFailure;
    private final boolean isDecided;

    State(boolean mayBeFailure, boolean isDecided) {
      this.mayBeFailure = mayBeFailure;
      this.isDecided = isDecided;
    }
  }

  /** Prepares for the response to the next request. */
  void reset() {
    line.setLength(0);
    state = State.EMPTY;
  }

  /**
   * Returns whether the bytes received since the last reset are, or can become, a response with
   * another status than 2xx.
   */
  boolean mayBeFailure() {
    return state.mayBeFailure;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      read(bytes);
    }
    context.fireChannelRead(message);
  }

  /** Reads the bytes without consuming them. */
  void read(ByteBuf bytes) {
    for (int i = bytes.readerIndex(); i < bytes.writerIndex() && !state.isDecided; i++) {
      read((char) (bytes.getByte(i) & 0xff));
    }
  }

  private void read(char next) {
    if (state == State.INTERIM_HEAD) {
      skipInterimHead(next);
      return;
    }
    boolean isIgnored = Character.isWhitespace(next) || Character.isISOControl(next);
    if (state == State.EMPTY && isIgnored) {
      return;
    }
    line.append(next);
    state = classify();
    lineEmpty = false;
  }

  private State classify() {
    Matcher matcher = STATUS_LINE.matcher(line);
    if (!matcher.lookingAt()) {
      return matcher.hitEnd() ? State.STATUS_LINE_BEGUN : State.NO_RESPONSE;
    }
    return switch (matcher.group(1)) {
      case "1" -> State.INTERIM_HEAD;
      case "2" -> State.SUCCESS;
      case "3", "4", "5" -> State.FAILURE;
      default -> State.NO_RESPONSE;
    };
  }

  private void skipInterimHead(char next) {
    if (next == '\n') {
      if (lineEmpty) {
        reset();
      }
      lineEmpty = true;
    } else if (next != '\r') {
      lineEmpty = false;
    }
  }
}
