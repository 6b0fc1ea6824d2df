#include "ManifestFile.h"

#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace fescue {

using nlohmann::json;

namespace {

    constexpr int maxNestingDepth = 32;

    json scalarOf(const YAML::Node& node)
    {
        const std::string& text = node.Scalar();
        bool isQuoted = node.Tag() == "!";
        if (isQuoted)
            return text;
        if (text == "true" || text == "false")
            return text == "true";
        std::int64_t whole = 0;
        if (YAML::convert<std::int64_t>::decode(node, whole))
            return whole;
        double number = 0;
        if (YAML::convert<double>::decode(node, number))
            return number;
        return text;
    }

    json toJson(const YAML::Node& node, int depth)
    {
        if (depth > maxNestingDepth)
            throw YAML::Exception(node.Mark(), "nested more than 32 levels deep");
        if (node.IsScalar())
            return scalarOf(node);
        if (node.IsSequence()) {
            json list = json::array();
            for (const YAML::Node& element : node)
                list.push_back(toJson(element, depth + 1));
            return list;
        }
        if (!node.IsMap())
            return nullptr;
        json object = json::object();
        for (const auto& member : node) {
            std::string name = member.first.Scalar();
            if (object.contains(name))
                throw YAML::Exception(member.first.Mark(), "duplicate member \"" + name + "\"");
            object[name] = toJson(member.second, depth + 1);
        }
        return object;
    }

} // namespace

tl::expected<json, ManifestError> parseYaml(const std::string& text)
{
    try {
        return toJson(YAML::Load(text), 0);
    } catch (const YAML::Exception& error) {
        return tl::make_unexpected(ManifestError { "manifest", error.what() });
    }
}

tl::expected<json, ManifestError> readManifestFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::make_unexpected(ManifestError { path, "cannot read the file; check its path" });
    std::stringstream text;
    text << file.rdbuf();
    return parseYaml(text.str());
}

} // namespace fescue
