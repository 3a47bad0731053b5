package io.magnoliaroute.daemon.gateway;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Finds a token in bytes that arrive in parts. A token begins after white space, a colon or the
 * beginning of the bytes and ends before white space.
 */
final class TokenMatcher {

  private static final int MISMATCH = -1;

  private final byte[] token;
  private int matchedBytes;

  TokenMatcher(String token) {
    this.token = token.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Reads further bytes, without changing their reader index; returns whether the token ended. */
  boolean find(ByteBuf bytes) {
    for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
      byte next = bytes.getByte(i);
      if (matchedBytes == token.length && isWhiteSpace(next)) {
        return true;
      }
      if (matchedBytes >= 0 && matchedBytes < token.length && token[matchedBytes] == next) {
        matchedBytes++;
      } else {
        matchedBytes = isWhiteSpace(next) || next == ':' ? 0 : MISMATCH;
      }
    }
    return false;
  }

  private static boolean isWhiteSpace(byte value) {
    return value == ' ' || value == '\t' || value == '\r' || value == '\n';
  }
}
