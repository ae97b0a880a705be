package gateway

import (
	"bytes"
	"encoding/json"
	"strings"

	"quartzshelf.dev/common/reason"
)

// completionRequest is the part of a completion request that is read here. The
// fields are those of the OpenAI API.
type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// chatMessage is one message of a chat. Its content is a text or a list of
// parts; an assistant's message that calls tools has none.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prompt returns the text by which shared prefixes are found.
func (r completionRequest) prompt() string {
	if len(r.Messages) > 0 {
		return string(r.Messages)
	}
	return string(r.Prompt)
}

// parseCompletion reads the body of a completion request.
func parseCompletion(body []byte) (completionRequest, *refusal) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, refuse(reason.BadRequest, "the body is not valid: %v", err)
	}
	if r.Model == "" {
		return r, refuse(reason.BadRequest, "the field model is missing")
	}
	return r, nil
}

// check refuses what no engine could answer; chat says that the request holds
// messages rather than a prompt.
func (r completionRequest) check(chat bool) *refusal {
	for name, most := range map[string]*int{"max_tokens": r.MaxTokens, "max_completion_tokens": r.MaxCompletionTokens} {
		if most != nil && *most < 1 {
			return refuse(reason.BadRequest, "%s is %d, which is not above 0", name, *most)
		}
	}
	if chat {
		return checkMessages(r.Messages)
	}
	return checkPrompt(r.Prompt)
}

func checkMessages(raw json.RawMessage) *refusal {
	if len(raw) == 0 {
		return refuse(reason.BadRequest, "the field messages is missing")
	}
	var messages []chatMessage
	if err := json.Unmarshal(raw, &messages); err != nil {
		return refuse(reason.BadRequest, "messages is not a list of messages: %v", err)
	}
	if len(messages) == 0 {
		return refuse(reason.BadRequest, "messages is empty")
	}
	for i, m := range messages {
		if m.Role == "" {
			return refuse(reason.BadRequest, "messages[%d] has no role", i)
		}
		if !startsWith(m.Content, `"[n`) && !(len(m.Content) == 0 && m.Role == "assistant") {
			return refuse(reason.BadRequest, "messages[%d].content is neither a text nor a list of parts", i)
		}
	}
	return nil
}

func checkPrompt(raw json.RawMessage) *refusal {
	if !startsWith(raw, `"[`) {
		return refuse(reason.BadRequest, "prompt is neither a text nor a list")
	}
	return nil
}

// startsWith reports whether valid JSON begins with one of some characters,
// which tell its type.
func startsWith(raw json.RawMessage, characters string) bool {
	trimmed := bytes.TrimSpace(raw)
	return len(trimmed) > 0 && strings.IndexByte(characters, trimmed[0]) >= 0
}
