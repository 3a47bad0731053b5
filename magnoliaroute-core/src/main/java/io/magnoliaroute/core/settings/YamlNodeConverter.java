package io.magnoliaroute.core.settings;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts YAML nodes to plain maps, lists and values. */
final class YamlNodeConverter {

  private YamlNodeConverter() {}

  static Map<String, Object> toMap(YamlNode.Mapping mapping) {
    Map<String, Object> plain = new LinkedHashMap<>();
    mapping.entries().forEach((key, entry) -> plain.put(key, toObject(entry.value())));
    return plain;
  }

  private static Object toObject(YamlNode node) {
    if (node instanceof YamlNode.Mapping mapping) {
      return toMap(mapping);
    }
    if (node instanceof YamlNode.Sequence sequence) {
      List<Object> items = new ArrayList<>();
      sequence.items().forEach(item -> items.add(toObject(item)));
      return items;
    }
    YamlNode.Scalar scalar = (YamlNode.Scalar) node;
    return switch (scalar.type()) {
      case NULL -> null;
      case BOOLEAN -> Boolean.valueOf(scalar.text());
      case INTEGER -> toInteger(scalar.text());
      case DECIMAL -> toDouble(scalar.text());
      default -> scalar.text();
    };
  }

  private static Object toInteger(String text) {
    try {
      return Long.decode(text.replace("_", ""));
    } catch (NumberFormatException e) {
      return toBigInteger(text);
    }
  }

  private static Object toBigInteger(String text) {
    try {
      return new BigInteger(text.replace("_", ""));
    } catch (NumberFormatException e) {
      return text;
    }
  }

  private static Object toDouble(String text) {
    try {
      return Double.valueOf(text.replace("_", ""));
    } catch (NumberFormatException e) {
      return text;
    }
  }
}
