#include "LibConfiguration/Pointer.h"

namespace Configuration
{
std::string pointerTo(const std::string &path, std::string_view member)
{
    std::string pointer = path + "/";
    for (const char character : member) {
        if (character == '~') {
            pointer += "~0";
        } else if (character == '/') {
            pointer += "~1";
        } else {
            pointer += character;
        }
    }
    return pointer;
}
} // namespace Configuration
