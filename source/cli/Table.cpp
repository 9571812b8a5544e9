#include "cli/Table.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

std::string cell(const Json &row, const std::string &column)
{
    const auto found = row.find(column);
    if (found == row.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : writeJson(*found);
}

std::string pad(const std::string &text, std::size_t width)
{
    return text + std::string(width - std::min(width, text.size()) + 2, ' ');
}

}

std::string formatTable(const Json &rows, const std::vector<std::string> &columns)
{
    std::vector<std::size_t> widths;
    for (const std::string &column : columns) {
        std::size_t width = column.size();
        for (const Json &row : rows) {
            width = std::max(width, cell(row, column).size());
        }
        widths.push_back(width);
    }
    std::string text;
    for (std::size_t i = 0; i < columns.size(); ++i) {
        std::string title = columns[i];
        std::ranges::transform(title, title.begin(), [](unsigned char letter) { return std::toupper(letter); });
        text += pad(title, widths[i]);
    }
    text += '\n';
    for (const Json &row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            text += pad(cell(row, columns[i]), widths[i]);
        }
        text += '\n';
    }
    return text;
}

std::string formatFields(const Json &document)
{
    std::string text;
    for (const auto &[name, value] : document.items()) {
        text += name + ": " + (value.is_string() ? value.get<std::string>() : writeJson(value)) + '\n';
    }
    return text;
}

}
