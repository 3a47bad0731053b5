package io.magnoliaroute.core.settings;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Reads the keys of one mapping and reports missing, invalid and unknown keys.
 *
 * <p>After an error, each method returns a placeholder, so that a single pass reports all findings.
 */
final class Section {

  private final Findings findings;
  private final String path;
  private final YamlNode.Mapping mapping;
  private final Set<String> readKeys = new LinkedHashSet<>();

  private Section(Findings findings, String path, YamlNode.Mapping mapping) {
    this.findings = findings;
    this.path = path;
    this.mapping = mapping;
  }

  /**
   * Reads the node as a mapping with the function and reports the keys that the function did not
   * read.
   *
   * @return the result of the function, or empty if the node is not a mapping
   */
  static <T> Optional<T> read(
      Findings findings, String path, YamlNode node, Function<Section, T> function) {
    if (!(node instanceof YamlNode.Mapping mapping)) {
      findings.error(node.line(), path, "must be a mapping, is " + describe(node));
      return Optional.empty();
    }
    Section section = new Section(findings, path, mapping);
    T result = function.apply(section);
    section.reportUnknownKeys();
    return Optional.of(result);
  }

  private void reportUnknownKeys() {
    mapping
        .entries()
        .forEach(
            (key, entry) -> {
              if (!readKeys.contains(key)) {
                findings.error(entry.line(), pathOf(key), "is not a known key");
              }
            });
  }

  String pathOf(String key) {
    return path.isEmpty() ? key : path + "/" + key;
  }

  int lineOf(String key) {
    YamlNode.Entry entry = mapping.entries().get(key);
    return entry == null ? mapping.line() : entry.line();
  }

  boolean has(String key) {
    return mapping.entries().containsKey(key);
  }

  int size() {
    return mapping.entries().size();
  }

  void mappingError(String message) {
    findings.error(mapping.line(), path, message);
  }

  void error(String key, String message) {
    findings.error(lineOf(key), pathOf(key), message);
  }

  void warning(String key, String message) {
    findings.warning(lineOf(key), pathOf(key), message);
  }

  private Optional<YamlNode> node(String key) {
    readKeys.add(key);
    return Optional.ofNullable(mapping.entries().get(key)).map(YamlNode.Entry::value);
  }

  private Optional<YamlNode> required(String key) {
    Optional<YamlNode> node = node(key);
    if (node.isEmpty()) {
      findings.error(mapping.line(), pathOf(key), "is missing");
    }
    return node;
  }

  long requireLong(String key, long min, long max) {
    return required(key).map(node -> readLong(key, node, min, max)).orElse(min);
  }

  long longOrDefault(String key, long defaultValue, long min, long max) {
    return node(key).map(node -> readLong(key, node, min, max)).orElse(defaultValue);
  }

  int requireInt(String key, int min, int max) {
    return (int) requireLong(key, min, max);
  }

  int intOrDefault(String key, int defaultValue, int min, int max) {
    return (int) longOrDefault(key, defaultValue, min, max);
  }

  private long readLong(String key, YamlNode node, long min, long max) {
    if (!(node instanceof YamlNode.Scalar scalar) || scalar.type() != YamlNode.ScalarType.INTEGER) {
      findings.error(node.line(), pathOf(key), "must be an integer, is " + describe(node));
      return min;
    }
    Optional<Long> value = parseLong(scalar.text());
    if (value.isEmpty() || value.get() < min || value.get() > max) {
      String message = "must be from " + min + " to " + max + ", is " + scalar.text();
      findings.error(node.line(), pathOf(key), message);
      return min;
    }
    return value.get();
  }

  private static Optional<Long> parseLong(String text) {
    try {
      return Optional.of(Long.decode(text.replace("_", "")));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  boolean booleanOrDefault(String key, boolean defaultValue) {
    Optional<YamlNode> node = node(key);
    if (node.isEmpty()) {
      return defaultValue;
    }
    if (node.get() instanceof YamlNode.Scalar scalar
        && scalar.type() == YamlNode.ScalarType.BOOLEAN) {
      return Boolean.parseBoolean(scalar.text());
    }
    findings.error(
        node.get().line(), pathOf(key), "must be true or false, is " + describe(node.get()));
    return defaultValue;
  }

  /** Returns the text of a required key, or empty after an error. */
  Optional<String> requireText(String key) {
    return required(key).flatMap(node -> readText(pathOf(key), node));
  }

  /** Returns the text of an optional key, or empty if it is absent or after an error. */
  Optional<String> text(String key) {
    return node(key).flatMap(node -> readText(pathOf(key), node));
  }

  /** Returns the value that the function parses from a required text. */
  <T> Optional<T> requireValue(String key, Function<String, T> function) {
    return requireText(key).flatMap(text -> parseValue(lineOf(key), pathOf(key), text, function));
  }

  /** Returns the value that the function parses from an optional text. */
  <T> Optional<T> value(String key, Function<String, T> function) {
    return text(key).flatMap(text -> parseValue(lineOf(key), pathOf(key), text, function));
  }

  /**
   * Returns the values that the function parses from an optional list of texts; a duplicate value
   * is an error.
   */
  <T> List<T> values(String key, Function<String, T> function) {
    List<T> values = new ArrayList<>();
    Set<T> distinctValues = new LinkedHashSet<>();
    forEachItem(
        key,
        (itemPath, node) ->
            readText(itemPath, node)
                .flatMap(text -> parseValue(node.line(), itemPath, text, function))
                .ifPresent(
                    value -> {
                      if (!distinctValues.add(value)) {
                        findings.error(node.line(), itemPath, "is listed twice: " + value);
                      }
                      values.add(value);
                    }));
    return values;
  }

  /** Returns the results of reading each mapping of an optional list with the function. */
  <T> List<T> sections(String key, Function<Section, T> function) {
    List<T> values = new ArrayList<>();
    forEachItem(
        key, (itemPath, node) -> read(findings, itemPath, node, function).ifPresent(values::add));
    return values;
  }

  /** Returns the result of reading an optional mapping with the function. */
  <T> Optional<T> section(String key, Function<Section, T> function) {
    return node(key).flatMap(node -> read(findings, pathOf(key), node, function));
  }

  /** Returns an optional mapping as plain values; empty if it is absent or after an error. */
  Map<String, Object> plainMap(String key) {
    Optional<YamlNode> node = node(key);
    if (node.isPresent() && node.get() instanceof YamlNode.Mapping inner) {
      return YamlNodeConverter.toMap(inner);
    }
    node.ifPresent(
        invalid ->
            findings.error(
                invalid.line(), pathOf(key), "must be a mapping, is " + describe(invalid)));
    return Map.of();
  }

  /** Returns the result of reading a required mapping with the function. */
  <T> Optional<T> requireSection(String key, Function<Section, T> function) {
    return required(key).flatMap(node -> read(findings, pathOf(key), node, function));
  }

  /** Calls the function with each key and entry of an optional mapping whose keys are names. */
  void forEachEntry(String key, BiConsumer<String, YamlNode.Entry> function) {
    Optional<YamlNode> node = node(key);
    if (node.isEmpty()) {
      return;
    }
    if (!(node.get() instanceof YamlNode.Mapping inner)) {
      findings.error(
          node.get().line(), pathOf(key), "must be a mapping, is " + describe(node.get()));
      return;
    }
    for (Map.Entry<String, YamlNode.Entry> entry : inner.entries().entrySet()) {
      function.accept(entry.getKey(), entry.getValue());
    }
  }

  private void forEachItem(String key, BiConsumer<String, YamlNode> function) {
    Optional<YamlNode> node = node(key);
    if (node.isEmpty()) {
      return;
    }
    if (!(node.get() instanceof YamlNode.Sequence sequence)) {
      findings.error(node.get().line(), pathOf(key), "must be a list, is " + describe(node.get()));
      return;
    }
    int index = 0;
    for (YamlNode item : sequence.items()) {
      function.accept(pathOf(key) + "/" + index, item);
      index++;
    }
  }

  private Optional<String> readText(String textPath, YamlNode node) {
    if (node instanceof YamlNode.Scalar scalar && scalar.type() == YamlNode.ScalarType.TEXT) {
      return Optional.of(scalar.text());
    }
    // The message omits the value, which may be a secret or a token.
    findings.error(node.line(), textPath, "must be text (quoted), is " + node.typeName());
    return Optional.empty();
  }

  private <T> Optional<T> parseValue(
      int line, String valuePath, String text, Function<String, T> function) {
    try {
      return Optional.of(function.apply(text));
    } catch (IllegalArgumentException e) {
      findings.error(line, valuePath, e.getMessage());
      return Optional.empty();
    }
  }

  private static String describe(YamlNode node) {
    return node instanceof YamlNode.Scalar scalar
            && scalar.type() != YamlNode.ScalarType.NULL
            && scalar.type() != YamlNode.ScalarType.TEXT
        ? node.typeName() + " " + scalar.text()
        : node.typeName();
  }
}
