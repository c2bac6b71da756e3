//! Shares of client accounts in engines that are short.
