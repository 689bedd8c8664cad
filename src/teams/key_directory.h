#pragma once

#include "teams/team_policy.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleyglade {

/** Returns the SHA-256 digest of an API key, as 32 raw bytes. Only digests are stored, compared and sent to other entry hosts. */
std::string digestOfKey(std::string_view key);

/**
 * Finds the team that an API key belongs to, in constant time however many keys there are.
 *
 * Keys are looked up by their digest. The time of a lookup may depend on the digest, which tells nothing about a key that is not known already.
 */
class key_directory
{
public:
    key_directory() = default;
    explicit key_directory(const std::vector<team_policy> &teams);

    /** Returns the name of the team with this key, valid as long as the directory; null if no team has it. A key of two teams belongs to the first. */
    const std::string *findTeam(const std::string &keyDigest) const;

    std::size_t size() const
    {
        return m_teams.size();
    }

private:
    std::unordered_map<std::string, std::string> m_teams; /**< Names of teams by digest. */
};

} // namespace parsleyglade
