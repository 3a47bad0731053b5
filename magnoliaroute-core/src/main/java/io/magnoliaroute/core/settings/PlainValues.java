package io.magnoliaroute.core.settings;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Turns nodes into plain maps, lists and values. */
final class PlainValues {

  private PlainValues() {}

  static Map<String, Object> map(YamlNode.Mapping mapping) {
    Map<String, Object> plain = new LinkedHashMap<>();
    mapping.entries().forEach((key, entry) -> plain.put(key, value(entry.value())));
    return plain;
  }

  private static Object value(YamlNode node) {
    if (node instanceof YamlNode.Mapping mapping) {
      return map(mapping);
    }
    if (node instanceof YamlNode.Sequence sequence) {
      List<Object> items = new ArrayList<>();
      sequence.items().forEach(item -> items.add(value(item)));
      return items;
    }
    YamlNode.Scalar scalar = (YamlNode.Scalar) node;
    return switch (scalar.type()) {
      case NULL -> null;
      case BOOLEAN -> Boolean.valueOf(scalar.text());
      case INTEGER -> integer(scalar.text());
      case DECIMAL -> decimal(scalar.text());
      default -> scalar.text();
    };
  }

  private static Object integer(String text) {
    try {
      return Long.decode(text.replace("_", ""));
    } catch (NumberFormatException e) {
      return big(text);
    }
  }

  private static Object big(String text) {
    try {
      return new BigInteger(text.replace("_", ""));
    } catch (NumberFormatException e) {
      return text;
    }
  }

  private static Object decimal(String text) {
    try {
      return Double.valueOf(text.replace("_", ""));
    } catch (NumberFormatException e) {
      return text;
    }
  }
}
