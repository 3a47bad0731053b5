package io.magnoliaroute.core.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Parses and checks single values; each method throws {@link IllegalArgumentException} with the
 * message of the finding if the text is invalid.
 */
final class ValueParsers {

  static final int MAX_PORT = 65_535;

  private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-fA-F]{64}");
  private static final Pattern OPERATION = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}");
  private static final Pattern IPV4_OCTET = Pattern.compile("0|[1-9][0-9]{0,2}");
  private static final Pattern IPV6_GROUP = Pattern.compile("[0-9a-fA-F]{1,4}");
  private static final int MAX_OCTET = 255;
  private static final int IPV6_GROUP_COUNT = 8;

  private ValueParsers() {}

  /** Returns the hash in lower case. The error message omits the value, which may be a token. */
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

  static String notBlank(String text) {
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

  private static int port(String portText, String text) {
    try {
      int port = Integer.parseInt(portText);
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
    String[] octets = host.split("\\.", -1);
    return octets.length == 4
        && Arrays.stream(octets)
            .allMatch(
                octet ->
                    IPV4_OCTET.matcher(octet).matches() && Integer.parseInt(octet) <= MAX_OCTET);
  }

  private static boolean isIpv6(String host) {
    int doubleColon = host.indexOf("::");
    if (doubleColon < 0) {
      return countIpv6Groups(host) == IPV6_GROUP_COUNT;
    }
    int groupsBefore = countIpv6Groups(host.substring(0, doubleColon));
    int groupsAfter = countIpv6Groups(host.substring(doubleColon + 2));
    return groupsBefore >= 0 && groupsAfter >= 0 && groupsBefore + groupsAfter < IPV6_GROUP_COUNT;
  }

  private static int countIpv6Groups(String text) {
    if (text.isEmpty()) {
      return 0;
    }
    String[] groups = text.split(":", -1);
    boolean valid = Arrays.stream(groups).allMatch(group -> IPV6_GROUP.matcher(group).matches());
    return valid ? groups.length : -1;
  }
}
