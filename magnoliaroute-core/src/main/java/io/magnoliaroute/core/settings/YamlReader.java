package io.magnoliaroute.core.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yaml.snakeyaml.LoaderOptions;

/**
 * Reads one YAML document into nodes with line numbers.
 *
 * <p>Anchors, aliases and merge keys are errors: every tool must read a published branch in the
 * same way, and aliases let small input expand without bound.
 */
final class YamlReader {

  /** The maximum nesting depth; the deepest path of a valid tree has seven levels. */
  private static final int MAX_DEPTH = 16;

  private final Findings findings;
  private final String rootPath;
  private final int maxChars;

  YamlReader(Findings findings, String rootPath, int maxChars) {
    this.findings = findings;
    this.rootPath = rootPath;
    this.maxChars = maxChars;
  }

  /** Returns the document, or empty if it cannot be read; a finding then gives the reason. */
  Optional<YamlNode> read(String yaml) {
    if (yaml.length() > maxChars) {
      String message = "is longer than " + maxChars + " characters: " + yaml.length();
      findings.error(0, rootPath, message);
      return Optional.empty();
    }
    try (YAMLParser parser = factory().createParser(yaml)) {
      if (parser.nextToken() == null) {
        findings.error(0, rootPath, "is empty");
        return Optional.empty();
      }
      YamlNode root = readNode(parser, rootPath, 1);
      if (parser.nextToken() != null) {
        findings.error(lineOf(parser), rootPath, "has more than one document");
      }
      return Optional.of(root);
    } catch (NestingDepthException e) {
      findings.error(e.line, e.path, "is nested deeper than " + MAX_DEPTH + " levels");
      return Optional.empty();
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      findings.error(line, rootPath, "is not YAML: " + firstLine(e.getOriginalMessage()));
      return Optional.empty();
    } catch (IOException e) {
      throw new IllegalStateException("failed to read YAML from a string", e);
    }
  }

  private YAMLFactory factory() {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(maxChars + 1);
    return YAMLFactory.builder().loaderOptions(options).build();
  }

  private YamlNode readNode(YAMLParser parser, String path, int depth) throws IOException {
    int line = lineOf(parser);
    if (depth > MAX_DEPTH) {
      throw new NestingDepthException(line, path);
    }
    checkNoAnchor(parser, line, path);
    return switch (parser.currentToken()) {
      case START_OBJECT -> readMapping(parser, line, path, depth);
      case START_ARRAY -> readSequence(parser, line, path, depth);
      case VALUE_NUMBER_INT -> readScalar(parser, line, YamlNode.ScalarType.INTEGER);
      case VALUE_NUMBER_FLOAT -> readScalar(parser, line, YamlNode.ScalarType.DECIMAL);
      case VALUE_TRUE, VALUE_FALSE -> readScalar(parser, line, YamlNode.ScalarType.BOOLEAN);
      case VALUE_NULL -> readScalar(parser, line, YamlNode.ScalarType.NULL);
      default -> readScalar(parser, line, YamlNode.ScalarType.TEXT);
    };
  }

  private void checkNoAnchor(YAMLParser parser, int line, String path) throws IOException {
    if (parser.isCurrentAlias() || parser.getObjectId() != null) {
      findings.error(line, path, "uses an anchor or alias, which settings do not support");
    }
  }

  private static YamlNode readScalar(YAMLParser parser, int line, YamlNode.ScalarType type)
      throws IOException {
    return new YamlNode.Scalar(line, type, parser.getText());
  }

  private YamlNode readMapping(YAMLParser parser, int line, String path, int depth)
      throws IOException {
    Map<String, YamlNode.Entry> entries = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      int keyLine = lineOf(parser);
      parser.nextToken();
      String keyPath = path.isEmpty() ? key : path + "/" + key;
      if (key.equals("<<")) {
        findings.error(keyLine, keyPath, "is a merge key, which settings do not support");
      }
      YamlNode value = readNode(parser, keyPath, depth + 1);
      if (entries.putIfAbsent(key, new YamlNode.Entry(keyLine, value)) != null) {
        findings.error(keyLine, keyPath, "is given twice");
      }
    }
    return new YamlNode.Mapping(line, entries);
  }

  private YamlNode readSequence(YAMLParser parser, int line, String path, int depth)
      throws IOException {
    List<YamlNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(readNode(parser, path + "/" + items.size(), depth + 1));
    }
    return new YamlNode.Sequence(line, items);
  }

  private static int lineOf(YAMLParser parser) {
    return parser.currentTokenLocation().getLineNr();
  }

  private static String firstLine(String message) {
    int end = message.indexOf('\n');
    return end < 0 ? message : message.substring(0, end);
  }

  private static final class NestingDepthException extends IOException {

    private static final long serialVersionUID = 1L;

    private final int line;
    private final String path;

    NestingDepthException(int line, String path) {
      super("nesting depth exceeded at line " + line);
      this.line = line;
      this.path = path;
    }
  }
}
