#pragma once

#include <array>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace parsleyglade {

/** A pipe that is read without waiting. */
struct pipe_fixture
{
    pipe_fixture()
    {
        REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }

    ~pipe_fixture()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    pipe_fixture(const pipe_fixture &) = delete;
    pipe_fixture &operator=(const pipe_fixture &) = delete;

    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t readBytes = 0; (readBytes = ::read(ends[0], buffer.data(), buffer.size())) > 0;) {
            text.append(buffer.data(), static_cast<std::size_t>(readBytes));
        }
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace parsleyglade
