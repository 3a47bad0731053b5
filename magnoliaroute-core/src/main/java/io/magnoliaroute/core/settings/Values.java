package io.magnoliaroute.core.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.regex.Pattern;

/** Checks of single values; each throws {@link IllegalArgumentException} with a message. */
final class Values {

  static final int MAX_PORT = 65_535;

  private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-fA-F]{64}");
  private static final Pattern OPERATION = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}");
  private static final Pattern IPV4_PART = Pattern.compile("0|[1-9][0-9]{0,2}");
  private static final Pattern IPV6_PART = Pattern.compile("[0-9a-fA-F]{1,4}");
  private static final int MAX_OCTET = 255;
  private static final int IPV6_PARTS = 8;

  private Values() {}

  /** Returns the hash in lower case. The value is not part of the message; it may be a token. */
  static String tokenHash(String text) {
    if (!TOKEN_HASH.matcher(text).matches()) {
      throw new IllegalArgumentException(
          "must be a SHA-256 hash of 64 hexadecimal digits, has " + text.length() + " characters");
    }
    return text.toLowerCase(Locale.ROOT);
  }

  static String operation(String text) {
    if (!OPERATION.matcher(text).matches()) {
      throw new IllegalArgumentException(
          "must match " + OPERATION.pattern() + ", is '" + text + "'");
    }
    return text;
  }

  static String notEmpty(String text) {
    if (text.isBlank()) {
      throw new IllegalArgumentException("must not be empty");
    }
    return text;
  }

  static HostPort hostPort(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("must be <ip>:<port>, is '" + text + "'");
    }
    String host = text.substring(0, colon);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
      requireIp(isIpv6(host), text);
    } else {
      requireIp(isIpv4(host), text);
    }
    return new HostPort(host, port(text.substring(colon + 1), text));
  }

  private static void requireIp(boolean valid, String text) {
    if (!valid) {
      throw new IllegalArgumentException(
          "must have an IP number before the port, is '" + text + "'");
    }
  }

  private static int port(String digits, String text) {
    try {
      int port = Integer.parseInt(digits);
      if (port >= 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("must end with a port, is '" + text + "'", e);
    }
    throw new IllegalArgumentException(
        "must have a port from 0 to " + MAX_PORT + ", is '" + text + "'");
  }

  private static boolean isIpv4(String host) {
    String[] parts = host.split("\\.", -1);
    return parts.length == 4
        && Arrays.stream(parts)
            .allMatch(
                part -> IPV4_PART.matcher(part).matches() && Integer.parseInt(part) <= MAX_OCTET);
  }

  private static boolean isIpv6(String host) {
    int gap = host.indexOf("::");
    if (gap < 0) {
      return ipv6Parts(host) == IPV6_PARTS;
    }
    int before = ipv6Parts(host.substring(0, gap));
    int after = ipv6Parts(host.substring(gap + 2));
    return before >= 0 && after >= 0 && before + after < IPV6_PARTS;
  }

  private static int ipv6Parts(String text) {
    if (text.isEmpty()) {
      return 0;
    }
    String[] parts = text.split(":", -1);
    boolean valid = Arrays.stream(parts).allMatch(part -> IPV6_PART.matcher(part).matches());
    return valid ? parts.length : -1;
  }
}
