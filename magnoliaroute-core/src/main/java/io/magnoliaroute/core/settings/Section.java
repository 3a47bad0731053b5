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
 * Reads the keys of one mapping and reports what is missing, wrong or unknown.
 *
 * <p>Each method returns a stand-in value after an error, so that one pass finds everything.
 */
final class Section {

  private final Findings findings;
  private final String path;
  private final YamlNode.Mapping mapping;
  private final Set<String> read = new LinkedHashSet<>();

  private Section(Findings findings, String path, YamlNode.Mapping mapping) {
    this.findings = findings;
    this.path = path;
    this.mapping = mapping;
  }

  /** Reads the node as a mapping with the function, and reports the keys it did not read. */
  static <T> Optional<T> of(
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
              if (!read.contains(key)) {
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

  void errorHere(String message) {
    findings.error(mapping.line(), path, message);
  }

  void error(String key, String message) {
    findings.error(lineOf(key), pathOf(key), message);
  }

  void warning(String key, String message) {
    findings.warning(lineOf(key), pathOf(key), message);
  }

  private Optional<YamlNode> node(String key) {
    read.add(key);
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
    return required(key).map(node -> longOf(key, node, min, max)).orElse(min);
  }

  long longOr(String key, long fallback, long min, long max) {
    return node(key).map(node -> longOf(key, node, min, max)).orElse(fallback);
  }

  int requireInt(String key, int min, int max) {
    return (int) requireLong(key, min, max);
  }

  int intOr(String key, int fallback, int min, int max) {
    return (int) longOr(key, fallback, min, max);
  }

  private long longOf(String key, YamlNode node, long min, long max) {
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

  boolean booleanOr(String key, boolean fallback) {
    Optional<YamlNode> node = node(key);
    if (node.isEmpty()) {
      return fallback;
    }
    if (node.get() instanceof YamlNode.Scalar scalar
        && scalar.type() == YamlNode.ScalarType.BOOLEAN) {
      return Boolean.parseBoolean(scalar.text());
    }
    findings.error(
        node.get().line(), pathOf(key), "must be true or false, is " + describe(node.get()));
    return fallback;
  }

  /** Returns the text of a required key, or nothing after an error. */
  Optional<String> requireText(String key) {
    return required(key).flatMap(node -> text(pathOf(key), node));
  }

  /** Returns the text of an optional key. */
  Optional<String> text(String key) {
    return node(key).flatMap(node -> text(pathOf(key), node));
  }

  /** Returns the value that the function makes of a required text. */
  <T> Optional<T> requireValue(String key, Function<String, T> function) {
    return requireText(key).flatMap(text -> valueOf(lineOf(key), pathOf(key), text, function));
  }

  /** Returns the value that the function makes of an optional text. */
  <T> Optional<T> value(String key, Function<String, T> function) {
    return text(key).flatMap(text -> valueOf(lineOf(key), pathOf(key), text, function));
  }

  /** Returns the values that the function makes of an optional list of texts, without doubles. */
  <T> List<T> values(String key, Function<String, T> function) {
    List<T> values = new ArrayList<>();
    Set<T> seen = new LinkedHashSet<>();
    forEachItem(
        key,
        (itemPath, node) ->
            text(itemPath, node)
                .flatMap(text -> valueOf(node.line(), itemPath, text, function))
                .ifPresent(
                    value -> {
                      if (!seen.add(value)) {
                        findings.error(node.line(), itemPath, "is listed twice: " + value);
                      }
                      values.add(value);
                    }));
    return values;
  }

  /** Returns what the function makes of each mapping in an optional list. */
  <T> List<T> sections(String key, Function<Section, T> function) {
    List<T> values = new ArrayList<>();
    forEachItem(
        key, (itemPath, node) -> of(findings, itemPath, node, function).ifPresent(values::add));
    return values;
  }

  /** Returns what the function makes of an optional mapping. */
  <T> Optional<T> section(String key, Function<Section, T> function) {
    return node(key).flatMap(node -> of(findings, pathOf(key), node, function));
  }

  /** Returns an optional mapping as plain values. */
  Map<String, Object> plainMap(String key) {
    Optional<YamlNode> node = node(key);
    if (node.isPresent() && node.get() instanceof YamlNode.Mapping inner) {
      return PlainValues.map(inner);
    }
    node.ifPresent(
        wrong ->
            findings.error(wrong.line(), pathOf(key), "must be a mapping, is " + describe(wrong)));
    return Map.of();
  }

  /** Returns what the function makes of a required mapping. */
  <T> Optional<T> requireSection(String key, Function<Section, T> function) {
    return required(key).flatMap(node -> of(findings, pathOf(key), node, function));
  }

  /** Calls the function with each key and node of an optional mapping whose keys are names. */
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

  private Optional<String> text(String textPath, YamlNode node) {
    if (node instanceof YamlNode.Scalar scalar && scalar.type() == YamlNode.ScalarType.TEXT) {
      return Optional.of(scalar.text());
    }
    // The value is not shown, because it may be a secret or a token.
    findings.error(node.line(), textPath, "must be text (quoted), is " + node.typeName());
    return Optional.empty();
  }

  private <T> Optional<T> valueOf(
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
