package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against tokens that are missed between two parts, or found inside longer ones. */
@DisplayName("A token in bytes that arrive in parts")
class TokenMatcherTest {

  private static final String TOKEN = "7f3a:7f3";

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"7f3a:7f3 ", "X-Request-Id: 7f3a:7f3\r\n", "Id:7f3a:7f3\n", "7f3 7f3a:7f3\t"})
  @DisplayName("is found, wherever the bytes are split")
  void tokenIsFound(String text) {
    for (int split = 0; split <= text.length(); split++) {
      TokenMatcher matcher = new TokenMatcher(TOKEN);
      boolean found = matcher.find(bytes(text.substring(0, split)));
      found |= matcher.find(bytes(text.substring(split)));
      assertEquals(true, found, "split at " + split);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"a7f3a:7f3 ", "7f3a:7f3a ", "7f3a:7f3", "7f3a: 7f3 "})
  @DisplayName("is not found in a part of it or in a longer one")
  void otherTokensAreIgnored(String text) {
    assertFalse(new TokenMatcher(TOKEN).find(bytes(text)));
  }

  @Test
  @DisplayName("leaves the bytes unread")
  void bytesAreNotConsumed() {
    ByteBuf text = bytes("7f3a:7f3 ");

    new TokenMatcher(TOKEN).find(text);

    assertEquals(9, text.readableBytes());
  }
}
